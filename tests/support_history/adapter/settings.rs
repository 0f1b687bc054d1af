//! The settings of the two instances, and the classes and destinations that they know.

/// Settings of the two instances; `forwarder` and `nonce64` are added at each start.
pub(super) const SETTINGS: [&str; 2] = [
    "classes.count=4 classes.0.name=note classes.0.idempotency=pure classes.0.goalTime=2000.0 \
     classes.0.deadline=12000.0 classes.0.worth=1.0 classes.0.lateShare=0.5 classes.1.name=order \
     classes.1.idempotency=side_effect classes.1.goalTime=3000.0 classes.1.deadline=12000.0 \
     classes.1.worth=5 classes.2.name=pay classes.2.idempotency=token classes.2.keyTtl=5000 \
     classes.2.dedupScope=all classes.2.goalTime=2000 classes.2.deadline=12000 classes.3.name=step \
     classes.3.idempotency=pure classes.3.sequential=1 classes.3.goalTime=2000 classes.3.deadline=12000 \
     realms.count=2 realms.0.name=small realms.0.quotaRps=1.5 realms.1.name=large overShareWorth=0.25 \
     discovery=ask guarantees.askWithin=1000 familyInfo.batchByKind=1,1,20 \
     familyInfo.kindApart=false,true,false familyInfo.slots=6 familyInfo.decay=halves kinds=shop,bank,depot \
     limits.maxAttempts=5 limits.openCap=40 limits.cancel=true limits.retryAfter=1 limits.maxRetryAfter=3000 \
     limits.idleClose=4000 limits.connectTimeout=1000 peersTotal=2 report.fields=x0,x1 round=5.0 zone=a \
     zones=a,b,c guarantees.fallMultiple=2 guarantees.overloadFor=3000 guarantees.startCapacity=0.2 \
     guarantees.warmAfter=8000 guarantees.turnGap=1000 weights=nominal some.new=thing",
    "classes.count=3 classes.0.name=note classes.0.idempotency=pure classes.0.goalTime=3000.0 \
     classes.0.deadline=16000.0 classes.1.name=order classes.1.idempotency=side_effect \
     classes.1.sequential=true classes.1.goalTime=3000.0 classes.1.deadline=16000.0 classes.2.name=pay \
     classes.2.idempotency=token classes.2.keyTtl=4000 classes.2.dedupScope=zone classes.2.goalTime=3000 \
     classes.2.deadline=16000 discovery=push familyInfo.batchByKind=1,1,8 \
     familyInfo.kindApart=0,1,0 familyInfo.decay=line familyInfo.slots=20 kinds=shop,bank,depot \
     limits.maxAttempts=4 limits.openCap=200 limits.idleClose=5000 limits.connectTimeout=800 peersTotal=300 \
     report.fields=x1 round=5.0 zone=b zones=b,a weights=rough guarantees.fallMultiple=3 \
     guarantees.overloadFor=2000 guarantees.startCapacity=0.1 guarantees.warmAfter=10000",
];
/// Names of the classes of each instance.
pub(super) const CLASSES: [&[&str]; 2] = [&["note", "order", "pay", "step"], &["note", "order", "pay"]];
/// The kind of each destination, from destination 1 on.
pub(super) const KINDS: [&str; 4] = ["shop", "bank", "depot", "shop"];
pub(super) const ENDPOINTS_PER_DESTINATION: u64 = 3;
pub(super) const ALL_ENDPOINTS: u64 = KINDS.len() as u64 * ENDPOINTS_PER_DESTINATION;
