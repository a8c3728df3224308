//! Finds the data set that a statement reads or writes: the number after the last underscore of a schema name, as 17 in
//! `sales_17`. Ignores strings and comments. The schema `staging` has no number and therefore names no data set.

/// A part of a qualified name like `sales_17.orders`, or a token that ends a qualified name.
#[derive(PartialEq)]
enum Token<'a> {
    Name(&'a [u8]),
    Dot,
    Other,
}

/// Tokenizer of SQL text.
struct Tokens<'a> {
    bytes: &'a [u8],
}

impl<'a> Tokens<'a> {
    /// Skips up to `count` bytes, and returns them.
    fn skip(&mut self, count: usize) -> &'a [u8] {
        let (skipped, rest) = self.bytes.split_at(count.min(self.bytes.len()));
        self.bytes = rest;
        skipped
    }

    /// Skips bytes up to the first one for which `ends` is true, and returns the skipped bytes.
    fn skip_until(&mut self, ends: impl Fn(u8) -> bool) -> &'a [u8] {
        let count = self.bytes.iter().position(|byte| ends(*byte)).unwrap_or(self.bytes.len());
        self.skip(count)
    }

    /// Skips quoted text, and returns the text between the quotes. A doubled quote doesn't end the text.
    fn skip_quoted(&mut self, quote: u8) -> &'a [u8] {
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

    /// Skips a block comment, including nested comments.
    fn skip_comment(&mut self) {
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

/// Whether a byte can be part of an unquoted name. Bytes of non-ASCII characters are accepted.
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
                [b'/', b'*', ..] => self.skip_comment(),
                [b'\'', ..] => {
                    self.skip_quoted(b'\'');
                    return Some(Token::Other);
                }
                [quote @ (b'"' | b'`'), ..] => return Some(Token::Name(self.skip_quoted(quote))),
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

/// The data set in a schema name like `sales_17`; `None` if the name doesn't end with an underscore and a number.
fn data_set_of_schema(schema: &[u8]) -> Option<u32> {
    let underscore = schema.iter().rposition(|byte| *byte == b'_').filter(|position| *position > 0)?;
    let digits = &schema[underscore + 1..];
    if !digits.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(digits).ok()?.parse().ok()
}

/// Returns the data set of the first schema name in a statement. Schema names occur only before a dot. A name that also
/// occurs without a dot before or after it is therefore taken for a table alias, like `t_1` in
/// `from sales_17.orders t_1 where t_1.id = 3`.
pub fn data_set(statement: &[u8]) -> Option<u32> {
    let mut qualifiers: Vec<&[u8]> = Vec::new();
    let mut unqualified: Vec<&[u8]> = Vec::new();
    let mut tokens = Tokens { bytes: statement }.peekable();
    let mut after_dot = false;
    while let Some(token) = tokens.next() {
        if let Token::Name(name) = token
            && data_set_of_schema(name).is_some()
        {
            if tokens.peek() == Some(&Token::Dot) {
                qualifiers.push(name);
            } else if !after_dot {
                unqualified.push(name);
            }
        }
        after_dot = token == Token::Dot;
    }
    let is_alias = |schema: &[u8]| unqualified.iter().any(|name| name.eq_ignore_ascii_case(schema));
    qualifiers.into_iter().find(|schema| !is_alias(schema)).and_then(data_set_of_schema)
}
