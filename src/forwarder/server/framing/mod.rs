//! Scans the heads of requests ahead of the HTTP parser for ambiguous body lengths.
//!
//! A proxy and this server may interpret a head differently if it states the length of its body more than
//! once. Bytes of the body could then be parsed as another request (request smuggling). This module only
//! detects such heads: the HTTP parser and the request handler parse and validate requests.

/// Maximum number of bytes of a header line that are buffered: enough for a header name and a length.
const MAX_LINE_BYTES: usize = 64;

/// Scans the bytes of a connection and follows the boundaries of its requests.
#[derive(Debug, Default)]
pub(super) struct FramingScanner {
    /// The current line, of which only the first [`MAX_LINE_BYTES`] are buffered.
    line: Vec<u8>,
    /// The number of `Content-Length` headers in this head.
    content_length_headers: u32,
    /// The value of the last `Content-Length` header in this head.
    content_length: u64,
    /// At least one line of this head has been read.
    in_head: bool,
    /// The number of bytes of this head that have been read.
    head_bytes: usize,
    /// The number of bytes of the longest head so far.
    longest_head_bytes: usize,
    /// This head has a `Transfer-Encoding` header.
    has_transfer_encoding: bool,
    /// Bytes of the current body that have not arrived yet.
    remaining_body: u64,
    /// The end of the current request is unknown. The server closes the connection after it, so no other
    /// request follows and nothing more is scanned.
    is_boundary_unknown: bool,
}

impl FramingScanner {
    /// Consumes the next bytes. Returns whether they complete a head with several `Content-Length` headers,
    /// or with `Content-Length` and `Transfer-Encoding`.
    pub(super) fn scan(&mut self, mut bytes: &[u8]) -> bool {
        let mut ambiguous = false;
        while !self.is_boundary_unknown && !bytes.is_empty() {
            if self.remaining_body > 0 {
                bytes = self.skip_body(bytes);
                continue;
            }
            let line_end = bytes.iter().position(|byte| *byte == b'\n');
            self.count_head_bytes(line_end.map_or(bytes.len(), |line_end| line_end + 1));
            self.extend_line(&bytes[..line_end.unwrap_or(bytes.len())]);
            let Some(line_end) = line_end else { break };
            bytes = &bytes[line_end + 1..];
            ambiguous |= self.end_line();
        }
        ambiguous
    }

    /// Whether the bytes read so far end within a request: in its head or in its body.
    pub(super) fn is_within_request(&self) -> bool {
        self.in_head || self.remaining_body > 0 || !self.line.is_empty()
    }

    /// The number of bytes of the longest head so far, which may be incomplete.
    pub(super) fn longest_head_bytes(&self) -> usize {
        self.longest_head_bytes
    }

    fn count_head_bytes(&mut self, bytes: usize) {
        self.head_bytes += bytes;
        self.longest_head_bytes = self.longest_head_bytes.max(self.head_bytes);
    }

    /// Consumes bytes of the body and returns the bytes after it.
    fn skip_body<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let remaining = usize::try_from(self.remaining_body).unwrap_or(usize::MAX);
        let skipped = remaining.min(bytes.len());
        self.remaining_body -= skipped as u64;
        &bytes[skipped..]
    }

    /// Appends to the current line, up to [`MAX_LINE_BYTES`].
    fn extend_line(&mut self, part: &[u8]) {
        let free = MAX_LINE_BYTES - self.line.len();
        self.line.extend_from_slice(&part[..part.len().min(free)]);
    }

    /// Evaluates the line that is now complete. Returns whether it ends an ambiguous head.
    fn end_line(&mut self) -> bool {
        let line = std::mem::take(&mut self.line);
        let line = line.strip_suffix(b"\r").unwrap_or(&line);
        if !line.is_empty() {
            self.in_head = true;
            self.read_header(line);
            return false;
        }
        // Empty lines before a request are skipped.
        self.in_head && self.end_head()
    }

    /// Resets the scanner for the body of the head that is now complete. Returns whether the head is
    /// ambiguous.
    fn end_head(&mut self) -> bool {
        let has_content_length = self.content_length_headers > 0;
        let ambiguous = self.content_length_headers > 1 || (has_content_length && self.has_transfer_encoding);
        *self = FramingScanner {
            remaining_body: self.content_length,
            is_boundary_unknown: ambiguous || self.has_transfer_encoding,
            longest_head_bytes: self.longest_head_bytes,
            ..FramingScanner::default()
        };
        ambiguous
    }

    /// Records a header that determines the length of the body.
    fn read_header(&mut self, line: &[u8]) {
        let Some(colon) = line.iter().position(|byte| *byte == b':') else { return };
        let (name, value) = (line[..colon].trim_ascii(), line[colon + 1..].trim_ascii());
        if name.eq_ignore_ascii_case(b"content-length") {
            self.content_length_headers += 1;
            // The HTTP parser rejects a value that is not a number.
            self.content_length = str::from_utf8(value).ok().and_then(|text| text.parse().ok()).unwrap_or(0);
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.has_transfer_encoding = true;
        }
    }
}

#[cfg(test)]
mod tests;
