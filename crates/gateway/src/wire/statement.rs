//! The class of tables that a statement reads or writes: the number behind the underscore in the name of its
//! schema. Names in strings and comments do not count, nor does the schema `staging`.

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
    fn skip(&mut self, n: usize) -> &'a [u8] {
        let (head, rest) = self.bytes.split_at(n.min(self.bytes.len()));
        self.bytes = rest;
        head
    }

    /// Past what lies between two quotes; a doubled quote stands for itself.
    fn quoted(&mut self, quote: u8) -> &'a [u8] {
        self.skip(1);
        let (whole, mut at) = (self.bytes, 0);
        while at < whole.len() {
            if whole[at] != quote {
                at += 1;
            } else if whole.get(at + 1) == Some(&quote) {
                at += 2;
            } else {
                break;
            }
        }
        self.skip(at + 1);
        &whole[..at]
    }

    /// Comments may hold comments.
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

fn in_name(b: u8) -> bool {
    b.is_ascii_alphanumeric() || b == b'_' || b == b'$' || b >= 0x80
}

impl<'a> Iterator for Tokens<'a> {
    type Item = Token<'a>;

    fn next(&mut self) -> Option<Token<'a>> {
        loop {
            match *self.bytes {
                [] => return None,
                [b'-', b'-', ..] => {
                    let n = self.bytes.iter().position(|b| *b == b'\n').unwrap_or(self.bytes.len());
                    self.skip(n);
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
                [b, ..] if b.is_ascii_whitespace() => {
                    self.skip(1);
                }
                [b, ..] if in_name(b) => {
                    let n = self.bytes.iter().position(|b| !in_name(*b)).unwrap_or(self.bytes.len());
                    return Some(Token::Name(self.skip(n)));
                }
                _ => {
                    self.skip(1);
                    return Some(Token::Other);
                }
            }
        }
    }
}

fn number(schema: &[u8]) -> Option<u32> {
    let at = schema.iter().rposition(|b| *b == b'_').filter(|at| *at > 0)?;
    let digits = &schema[at + 1..];
    if !digits.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(digits).ok()?.parse().ok()
}

/// The first schema that a name is qualified with. What also stands alone somewhere is the alias of a table
/// (`from sales_17.orders t_1 where t_1.id = 3`), since a schema is only ever named before a dot.
pub fn table_group(statement: &[u8]) -> Option<u32> {
    let (mut schemas, mut alone): (Vec<&[u8]>, Vec<&[u8]>) = (Vec::new(), Vec::new());
    let mut tokens = Tokens { bytes: statement }.peekable();
    let mut after_dot = false;
    while let Some(token) = tokens.next() {
        if let Token::Name(name) = token
            && number(name).is_some()
        {
            match (tokens.peek() == Some(&Token::Dot), after_dot) {
                (true, _) => schemas.push(name),
                (false, false) => alone.push(name),
                (false, true) => {}
            }
        }
        after_dot = token == Token::Dot;
    }
    let is_alias = |schema: &[u8]| alone.iter().any(|a| a.eq_ignore_ascii_case(schema));
    schemas.into_iter().find(|s| !is_alias(s)).and_then(number)
}
