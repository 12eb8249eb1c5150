//! A push scanner of JSON (RFC 8259): checks the grammar of a document that comes in pieces, in memory that depends on
//! neither its size nor its depth, and tells where its outer values begin and end. It builds no values. The push parsers at
//! hand keep each string whole, of whatever length.

/// Nesting at most, as `serde_json` has it.
pub const MOST_DEPTH: u32 = 127;
/// Values deeper than this begin and end without an event.
pub const WATCHED_DEPTH: u32 = 2;

/// The input is not JSON; says why, in plain words.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotJson(pub &'static str);

/// Something that the input has come to. The depth of a value is the number of containers around it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The name of a member begins with the byte just taken.
    NameBegins { depth: u32 },
    /// It ended with the byte just taken.
    NameEnds { depth: u32 },
    /// A value begins with the byte just taken.
    ValueBegins { depth: u32, first: u8 },
    /// It ended with the byte just taken.
    ValueEnds { depth: u32 },
}

/// How far a scan came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// Bytes taken; all of them where there is no event.
    pub used: usize,
    pub event: Option<Event>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum State {
    Value,
    /// The first value of an array, or its end.
    ValueOrEnd,
    Name,
    /// The first name of an object, or its end.
    NameOrEnd,
    Colon,
    CommaOrEnd,
    Text(Text),
    /// What of `true`, `false` or `null` is to come.
    Word(&'static [u8]),
    Number(Number),
    /// The document is whole.
    Over,
}

/// Within a string.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Text {
    Plain,
    /// After a backslash.
    Escape,
    /// So many hexadecimal digits are to come.
    Digits(u8),
}

/// What of a number came last.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Number {
    Minus,
    LeadingZero,
    Whole,
    Point,
    Fraction,
    Exponent,
    ExponentSign,
    ExponentDigits,
}

/// The containers that are open, innermost last.
#[derive(Default)]
struct Containers {
    depth: u32,
    /// A bit for each: set for an object. The innermost is the lowest.
    objects: u128,
}

impl Containers {
    fn open(&mut self, object: bool) -> Result<(), NotJson> {
        if self.depth == MOST_DEPTH {
            return Err(NotJson("nested too deeply"));
        }
        self.depth += 1;
        self.objects = self.objects << 1 | u128::from(object);
        Ok(())
    }

    fn close(&mut self) {
        self.depth -= 1;
        self.objects >>= 1;
    }

    fn in_object(&self) -> bool {
        self.objects & 1 == 1
    }
}

/// Checks one document. After a fault it is of no more use.
pub struct Scanner {
    state: State,
    containers: Containers,
    /// The string that is being read is the name of a member.
    naming: bool,
}

impl Default for Scanner {
    fn default() -> Self {
        Scanner { state: State::Value, containers: Containers::default(), naming: false }
    }
}

impl Scanner {
    /// Reads on to the next event, or to the end of the input.
    pub fn scan(&mut self, input: &[u8]) -> Result<Step, NotJson> {
        let mut used = 0;
        while used < input.len() {
            if self.state == State::Text(Text::Plain) {
                used += plain(&input[used..]);
            }
            let Some(byte) = input.get(used) else { break };
            // A number ends before the byte that tells so: that one is read again.
            if let State::Number(number) = self.state
                && !self.number_goes_on(number, *byte)
            {
                if !ends(number) {
                    return Err(NotJson("expected a digit"));
                }
                if let Some(event) = self.value_ends() {
                    return Ok(Step { used, event: Some(event) });
                }
                continue;
            }
            used += 1;
            if let Some(event) = self.take(*byte)? {
                return Ok(Step { used, event: Some(event) });
            }
        }
        Ok(Step { used, event: None })
    }

    /// Whether the document is whole. One that is a bare number never is: nothing tells its end.
    pub fn is_over(&self) -> bool {
        self.state == State::Over
    }

    fn take(&mut self, byte: u8) -> Result<Option<Event>, NotJson> {
        match self.state {
            State::Number(_) => Ok(None),
            State::Text(text) => self.text(text, byte),
            State::Word(rest) => self.word(rest, byte),
            _ if matches!(byte, b' ' | b'\t' | b'\n' | b'\r') => Ok(None),
            State::Value => self.value_begins(byte),
            State::ValueOrEnd if byte == b']' => Ok(self.container_ends()),
            State::ValueOrEnd => self.value_begins(byte),
            State::NameOrEnd if byte == b'}' => Ok(self.container_ends()),
            State::NameOrEnd | State::Name => self.name_begins(byte),
            State::Colon if byte == b':' => {
                self.state = State::Value;
                Ok(None)
            }
            State::Colon => Err(NotJson("expected a colon")),
            State::CommaOrEnd => self.comma_or_end(byte),
            State::Over => Err(NotJson("expected nothing after the end")),
        }
    }

    fn value_begins(&mut self, byte: u8) -> Result<Option<Event>, NotJson> {
        let depth = self.containers.depth;
        self.state = match byte {
            b'{' | b'[' => {
                self.containers.open(byte == b'{')?;
                if byte == b'{' { State::NameOrEnd } else { State::ValueOrEnd }
            }
            b'"' => State::Text(Text::Plain),
            b't' => State::Word(b"rue"),
            b'f' => State::Word(b"alse"),
            b'n' => State::Word(b"ull"),
            b'-' => State::Number(Number::Minus),
            b'0' => State::Number(Number::LeadingZero),
            b'1'..=b'9' => State::Number(Number::Whole),
            _ => return Err(NotJson("expected a value")),
        };
        Ok(watched(Event::ValueBegins { depth, first: byte }, depth))
    }

    fn name_begins(&mut self, byte: u8) -> Result<Option<Event>, NotJson> {
        if byte != b'"' {
            return Err(NotJson("expected a name"));
        }
        self.naming = true;
        self.state = State::Text(Text::Plain);
        let depth = self.containers.depth;
        Ok(watched(Event::NameBegins { depth }, depth))
    }

    fn comma_or_end(&mut self, byte: u8) -> Result<Option<Event>, NotJson> {
        let in_object = self.containers.in_object();
        match byte {
            b',' => {
                self.state = if in_object { State::Name } else { State::Value };
                Ok(None)
            }
            b'}' if in_object => Ok(self.container_ends()),
            b']' if !in_object => Ok(self.container_ends()),
            _ => Err(NotJson("expected a comma or the end of a list or object")),
        }
    }

    fn container_ends(&mut self) -> Option<Event> {
        self.containers.close();
        self.value_ends()
    }

    fn value_ends(&mut self) -> Option<Event> {
        let depth = self.containers.depth;
        self.state = if depth == 0 { State::Over } else { State::CommaOrEnd };
        watched(Event::ValueEnds { depth }, depth)
    }

    fn text(&mut self, text: Text, byte: u8) -> Result<Option<Event>, NotJson> {
        let next = match (text, byte) {
            (Text::Plain, b'"') => return Ok(self.text_ends()),
            (Text::Plain, b'\\') => Text::Escape,
            (Text::Plain, ..b' ') => return Err(NotJson("a control character in a string")),
            (Text::Plain, _) => Text::Plain,
            (Text::Escape, b'"' | b'\\' | b'/' | b'b' | b'f' | b'n' | b'r' | b't') => Text::Plain,
            (Text::Escape, b'u') => Text::Digits(4),
            (Text::Escape, _) => return Err(NotJson("an unknown escape")),
            (Text::Digits(_), _) if !byte.is_ascii_hexdigit() => return Err(NotJson("an unknown escape")),
            (Text::Digits(1), _) => Text::Plain,
            (Text::Digits(left), _) => Text::Digits(left - 1),
        };
        self.state = State::Text(next);
        Ok(None)
    }

    fn text_ends(&mut self) -> Option<Event> {
        if !std::mem::take(&mut self.naming) {
            return self.value_ends();
        }
        self.state = State::Colon;
        let depth = self.containers.depth;
        watched(Event::NameEnds { depth }, depth)
    }

    fn word(&mut self, rest: &'static [u8], byte: u8) -> Result<Option<Event>, NotJson> {
        match rest {
            [expected, ..] if *expected != byte => Err(NotJson("expected true, false or null")),
            [_] | [] => Ok(self.value_ends()),
            [_, rest @ ..] => {
                self.state = State::Word(rest);
                Ok(None)
            }
        }
    }

    /// Whether the byte belongs to the number.
    fn number_goes_on(&mut self, number: Number, byte: u8) -> bool {
        let next = match (number, byte) {
            (Number::Minus, b'0') => Number::LeadingZero,
            (Number::Minus | Number::Whole, b'0'..=b'9') => Number::Whole,
            (Number::LeadingZero | Number::Whole, b'.') => Number::Point,
            (Number::Point | Number::Fraction, b'0'..=b'9') => Number::Fraction,
            (Number::LeadingZero | Number::Whole | Number::Fraction, b'e' | b'E') => Number::Exponent,
            (Number::Exponent, b'+' | b'-') => Number::ExponentSign,
            (Number::Exponent | Number::ExponentSign | Number::ExponentDigits, b'0'..=b'9') => {
                Number::ExponentDigits
            }
            _ => return false,
        };
        self.state = State::Number(next);
        true
    }
}

/// How many bytes of a string come before its end, an escape, or what may not stand in it.
fn plain(input: &[u8]) -> usize {
    let special = |byte: &u8| matches!(byte, b'"' | b'\\' | ..b' ');
    input.iter().position(special).unwrap_or(input.len())
}

/// Whether a number may end here.
fn ends(number: Number) -> bool {
    matches!(number, Number::LeadingZero | Number::Whole | Number::Fraction | Number::ExponentDigits)
}

fn watched(event: Event, depth: u32) -> Option<Event> {
    (depth <= WATCHED_DEPTH).then_some(event)
}

/// Checks that bytes which come in pieces are UTF-8.
#[derive(Default)]
pub struct Utf8 {
    /// A character whose end has not come: three bytes at most.
    begun: Vec<u8>,
}

impl Utf8 {
    /// Checks the next piece.
    pub fn check(&mut self, mut piece: &[u8]) -> Result<(), NotJson> {
        while !self.begun.is_empty() {
            let Some((byte, rest)) = piece.split_first() else { return Ok(()) };
            self.begun.push(*byte);
            piece = rest;
            match unfinished(&self.begun)? {
                [] => self.begun.clear(),
                _ => continue,
            }
        }
        self.begun.extend_from_slice(unfinished(piece)?);
        Ok(())
    }
}

/// What of a character stands at the end without its last bytes.
fn unfinished(bytes: &[u8]) -> Result<&[u8], NotJson> {
    match std::str::from_utf8(bytes) {
        Ok(_) => Ok(&[]),
        Err(fault) if fault.error_len().is_none() => Ok(&bytes[fault.valid_up_to()..]),
        Err(_) => Err(NotJson("not UTF-8")),
    }
}
