//! The data set that a statement reads or writes: the number behind the underscore in the name of its schema. Names in
//! strings and comments do not count, nor does the schema `staging`.

/// One name of a chain like `sales_17.orders`, or what ends a chain.
#[derive(PartialEq)]
enum Token<'a> {
    Name(&'a [u8]),
    Dot,
    Other,
}

struct Tokens<'a> {
    bytes: &'a [u8],
}

impl<'a> Tokens<'a> {
    fn skip(&mut self, count: usize) -> &'a [u8] {
        let (skipped, rest) = self.bytes.split_at(count.min(self.bytes.len()));
        self.bytes = rest;
        skipped
    }

    /// Skips bytes up to one for which `ends` holds, and returns them.
    fn skip_until(&mut self, ends: impl Fn(u8) -> bool) -> &'a [u8] {
        let count = self.bytes.iter().position(|byte| ends(*byte)).unwrap_or(self.bytes.len());
        self.skip(count)
    }

    /// Skips a quoted text and returns what is between the quotes; a doubled quote stands for itself.
    fn quoted(&mut self, quote: u8) -> &'a [u8] {
        self.skip(1);
        let text = self.bytes;
        let mut end = 0;
        while end < text.len() {
            if text[end] != quote {
                end += 1;
            } else if text.get(end + 1) == Some(&quote) {
                end += 2;
            } else {
                break;
            }
        }
        self.skip(end + 1);
        &text[..end]
    }

    /// Skips a comment, and the comments within it.
    fn comment(&mut self) {
        let mut depth = 0;
        while !self.bytes.is_empty() {
            match self.bytes {
                [b'/', b'*', ..] => {
                    depth += 1;
                    self.skip(2);
                }
                [b'*', b'/', ..] => {
                    depth -= 1;
                    self.skip(2);
                    if depth == 0 {
                        return;
                    }
                }
                _ => {
                    self.skip(1);
                }
            }
        }
    }
}

fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || byte == b'_' || byte == b'$' || byte >= 0x80
}

impl<'a> Iterator for Tokens<'a> {
    type Item = Token<'a>;

    fn next(&mut self) -> Option<Token<'a>> {
        loop {
            match *self.bytes {
                [] => return None,
                [b'-', b'-', ..] => {
                    self.skip_until(|byte| byte == b'\n');
                }
                [b'/', b'*', ..] => self.comment(),
                [b'\'', ..] => {
                    self.quoted(b'\'');
                    return Some(Token::Other);
                }
                [quote @ (b'"' | b'`'), ..] => return Some(Token::Name(self.quoted(quote))),
                [b'.', ..] => {
                    self.skip(1);
                    return Some(Token::Dot);
                }
                [byte, ..] if byte.is_ascii_whitespace() => {
                    self.skip(1);
                }
                [byte, ..] if is_name_byte(byte) => {
                    return Some(Token::Name(self.skip_until(|byte| !is_name_byte(byte))));
                }
                _ => {
                    self.skip(1);
                    return Some(Token::Other);
                }
            }
        }
    }
}

fn data_set_of_schema(schema: &[u8]) -> Option<u32> {
    let underscore = schema.iter().rposition(|byte| *byte == b'_').filter(|position| *position > 0)?;
    let digits = &schema[underscore + 1..];
    if !digits.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(digits).ok()?.parse().ok()
}

/// The data set of the first schema that a name is qualified with. A name that also stands alone somewhere is the alias
/// of a table (`from sales_17.orders t_1 where t_1.id = 3`), since a schema is only ever named before a dot.
pub fn data_set(statement: &[u8]) -> Option<u32> {
    let mut schemas: Vec<&[u8]> = Vec::new();
    let mut alone: Vec<&[u8]> = Vec::new();
    let mut tokens = Tokens { bytes: statement }.peekable();
    let mut after_dot = false;
    while let Some(token) = tokens.next() {
        if let Token::Name(name) = token
            && data_set_of_schema(name).is_some()
        {
            if tokens.peek() == Some(&Token::Dot) {
                schemas.push(name);
            } else if !after_dot {
                alone.push(name);
            }
        }
        after_dot = token == Token::Dot;
    }
    let is_alias = |schema: &[u8]| alone.iter().any(|name| name.eq_ignore_ascii_case(schema));
    schemas.into_iter().find(|schema| !is_alias(schema)).and_then(data_set_of_schema)
}
