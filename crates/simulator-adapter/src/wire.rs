//! The wire's bytes: a reader that names where it stands when something is off, and a writer for replies.

pub struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
    what: &'static str,
}

impl<'a> Reader<'a> {
    pub fn new(bytes: &'a [u8], what: &'static str) -> Reader<'a> {
        Reader { bytes, at: 0, what }
    }

    pub fn left(&self) -> usize {
        self.bytes.len() - self.at
    }

    pub fn take(&mut self, n: usize) -> Result<&'a [u8], String> {
        if self.left() < n {
            return Err(format!("{}: {n} bytes wanted at byte {}, {} left", self.what, self.at, self.left()));
        }
        self.at += n;
        Ok(&self.bytes[self.at - n..self.at])
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], String> {
        let mut out = [0; N];
        out.copy_from_slice(self.take(N)?);
        Ok(out)
    }

    pub fn u8(&mut self) -> Result<u8, String> {
        Ok(self.array::<1>()?[0])
    }
    pub fn u16(&mut self) -> Result<u16, String> {
        self.array().map(u16::from_le_bytes)
    }
    pub fn u32(&mut self) -> Result<u32, String> {
        self.array().map(u32::from_le_bytes)
    }
    pub fn u64(&mut self) -> Result<u64, String> {
        self.array().map(u64::from_le_bytes)
    }
    pub fn f32(&mut self) -> Result<f64, String> {
        let v = f64::from(f32::from_le_bytes(self.array()?));
        if v.is_finite() { Ok(v) } else { Err(format!("{}: no number at byte {}", self.what, self.at - 4)) }
    }
    pub fn address(&mut self) -> Result<[u8; 6], String> {
        self.array()
    }
}

/// The records of one reply.
#[derive(Default)]
pub struct Reply {
    bytes: Vec<u8>,
}

impl Reply {
    fn record(&mut self, code: u8, who: u32, fields: &[&[u8]]) {
        let size = 4 + fields.iter().map(|f| f.len()).sum::<usize>() as u32;
        self.bytes.push(code);
        self.bytes.extend(size.to_le_bytes());
        self.bytes.extend(who.to_le_bytes());
        for field in fields {
            self.bytes.extend_from_slice(field);
        }
    }

    pub fn call_out(&mut self, who: u32, id: u32, engine: [u8; 6], allow_for: u32) {
        self.record(120, who, &[&id.to_le_bytes(), &engine, &allow_for.to_le_bytes()]);
    }
    pub fn resources(&mut self, who: u32, id: u32, memory_mb: f32, priority: u8) {
        self.record(30, who, &[&id.to_le_bytes(), &memory_mb.to_le_bytes(), &[priority]]);
    }
    pub fn call_off(&mut self, who: u32, id: u32, attempt: u8) {
        self.record(40, who, &[&id.to_le_bytes(), &[attempt]]);
    }
    pub fn ping(&mut self, who: u32, engine: [u8; 6]) {
        self.record(90, who, &[&engine]);
    }
    pub fn deny(&mut self, who: u32, id: u32, wait: u32) {
        self.record(110, who, &[&id.to_le_bytes(), &wait.to_le_bytes()]);
    }
    pub fn abort(&mut self, who: u32, id: u32) {
        self.record(80, who, &[&id.to_le_bytes()]);
    }
    pub fn watch(&mut self, who: u32) {
        self.record(100, who, &[&[1]]);
    }
    pub fn schedule(&mut self, who: u32, due_at: u64, tag: u64) {
        self.record(130, who, &[&due_at.to_le_bytes(), &tag.to_le_bytes()]);
    }
    pub fn trace(&mut self, who: u32, words: &str) {
        let words = &words.as_bytes()[..words.len().min(200)];
        self.record(60, who, &[&(words.len() as u16).to_le_bytes(), words]);
    }

    /// The framed reply to one request of events.
    pub fn framed(&self, number: u32) -> Vec<u8> {
        let mut out = Vec::with_capacity(8 + self.bytes.len());
        out.extend(number.to_le_bytes());
        out.extend((self.bytes.len() as u32).to_le_bytes());
        out.extend_from_slice(&self.bytes);
        out
    }
}
