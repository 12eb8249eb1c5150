//! A push scanner for JSON (RFC 8259), used by [`ListReader`](super::list_reader::ListReader).
//!
//! It checks the grammar of a document that arrives in pieces and reports where the outer values start and
//! end, but builds no values. Its memory use depends on neither the size nor the depth of the document.
//! Existing push parsers buffer every string completely, whatever its length.

/// The deepest nesting that is accepted; the same as that of `serde_json`.
pub const MAX_DEPTH: u32 = 127;
/// Names and values at greater depth produce no events.
pub const MAX_EVENT_DEPTH: u32 = 2;

/// The input is not valid JSON. The text says why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JsonError(pub &'static str);

/// The start or end of a member's name or of a value. The depth is the number of containers around it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The last byte consumed is the opening quote of a member's name.
    NameBegins { depth: u32 },
    /// The last byte consumed is the closing quote of a member's name.
    NameEnds { depth: u32 },
    /// The last byte consumed is `first`, the first byte of a value.
    ValueBegins { depth: u32, first: u8 },
    /// The last byte consumed is the last byte of a value.
    ValueEnds { depth: u32 },
}

/// The progress of one call of [`Scanner::scan`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// Number of bytes consumed; the whole input if there is no event.
    pub consumed: usize,
    pub event: Option<Event>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum State {
    Value,
    /// The first value of an array, or the end of the array.
    ValueOrEnd,
    Name,
    /// The first name of an object, or the end of the object.
    NameOrEnd,
    Colon,
    CommaOrEnd,
    String(StringState),
    /// The remaining bytes of `true`, `false` or `null`.
    Literal(&'static [u8]),
    Number(NumberState),
    /// The document is complete.
    Complete,
}

/// The position within a string.
#[derive(Clone, Copy, PartialEq, Eq)]
enum StringState {
    Plain,
    /// After a backslash.
    Escape,
    /// The number of hexadecimal digits still expected, after `\u`.
    HexDigits(u8),
}

/// The part of a number that the last byte belonged to.
#[derive(Clone, Copy, PartialEq, Eq)]
enum NumberState {
    Minus,
    LeadingZero,
    Integer,
    Point,
    Fraction,
    Exponent,
    ExponentSign,
    ExponentDigits,
}

/// The stack of open containers.
#[derive(Default)]
struct Containers {
    depth: u32,
    /// One bit per container, set for an object. The lowest bit is the innermost container.
    objects: u128,
}

impl Containers {
    fn open(&mut self, object: bool) -> Result<(), JsonError> {
        if self.depth == MAX_DEPTH {
            return Err(JsonError("nested too deeply"));
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

/// Scans one document. It must not be used again after an error.
pub struct Scanner {
    state: State,
    containers: Containers,
    /// The current string is the name of a member.
    in_name: bool,
}

impl Default for Scanner {
    fn default() -> Self {
        Scanner { state: State::Value, containers: Containers::default(), in_name: false }
    }
}

impl Scanner {
    /// Scans up to the next event, or to the end of the input.
    pub fn scan(&mut self, input: &[u8]) -> Result<Step, JsonError> {
        let mut consumed = 0;
        while consumed < input.len() {
            if self.state == State::String(StringState::Plain) {
                consumed += unescaped_len(&input[consumed..]);
            }
            let Some(byte) = input.get(consumed) else { break };
            // The end of a number shows only at the byte after it, which must then be scanned again.
            if let State::Number(number) = self.state
                && !self.continue_number(number, *byte)
            {
                if !may_end(number) {
                    return Err(JsonError("expected a digit"));
                }
                if let Some(event) = self.end_value() {
                    return Ok(Step { consumed, event: Some(event) });
                }
                continue;
            }
            consumed += 1;
            if let Some(event) = self.scan_byte(*byte)? {
                return Ok(Step { consumed, event: Some(event) });
            }
        }
        Ok(Step { consumed, event: None })
    }

    /// Whether the document is complete. A document that is a bare number never is, as nothing marks its end.
    pub fn is_complete(&self) -> bool {
        self.state == State::Complete
    }

    fn scan_byte(&mut self, byte: u8) -> Result<Option<Event>, JsonError> {
        match self.state {
            State::Number(_) => Ok(None),
            State::String(state) => self.string_byte(state, byte),
            State::Literal(rest) => self.literal_byte(rest, byte),
            _ if matches!(byte, b' ' | b'\t' | b'\n' | b'\r') => Ok(None),
            State::Value => self.begin_value(byte),
            State::ValueOrEnd if byte == b']' => Ok(self.end_container()),
            State::ValueOrEnd => self.begin_value(byte),
            State::NameOrEnd if byte == b'}' => Ok(self.end_container()),
            State::NameOrEnd | State::Name => self.begin_name(byte),
            State::Colon if byte == b':' => {
                self.state = State::Value;
                Ok(None)
            }
            State::Colon => Err(JsonError("expected a colon")),
            State::CommaOrEnd => self.comma_or_end(byte),
            State::Complete => Err(JsonError("expected nothing after the end of the document")),
        }
    }

    fn begin_value(&mut self, byte: u8) -> Result<Option<Event>, JsonError> {
        let depth = self.containers.depth;
        self.state = match byte {
            b'{' | b'[' => {
                self.containers.open(byte == b'{')?;
                if byte == b'{' { State::NameOrEnd } else { State::ValueOrEnd }
            }
            b'"' => State::String(StringState::Plain),
            b't' => State::Literal(b"rue"),
            b'f' => State::Literal(b"alse"),
            b'n' => State::Literal(b"ull"),
            b'-' => State::Number(NumberState::Minus),
            b'0' => State::Number(NumberState::LeadingZero),
            b'1'..=b'9' => State::Number(NumberState::Integer),
            _ => return Err(JsonError("expected a value")),
        };
        Ok(within_event_depth(Event::ValueBegins { depth, first: byte }, depth))
    }

    fn begin_name(&mut self, byte: u8) -> Result<Option<Event>, JsonError> {
        if byte != b'"' {
            return Err(JsonError("expected the name of a member"));
        }
        self.in_name = true;
        self.state = State::String(StringState::Plain);
        let depth = self.containers.depth;
        Ok(within_event_depth(Event::NameBegins { depth }, depth))
    }

    fn comma_or_end(&mut self, byte: u8) -> Result<Option<Event>, JsonError> {
        let in_object = self.containers.in_object();
        match byte {
            b',' => {
                self.state = if in_object { State::Name } else { State::Value };
                Ok(None)
            }
            b'}' if in_object => Ok(self.end_container()),
            b']' if !in_object => Ok(self.end_container()),
            _ => Err(JsonError("expected a comma or the end of an array or object")),
        }
    }

    fn end_container(&mut self) -> Option<Event> {
        self.containers.close();
        self.end_value()
    }

    fn end_value(&mut self) -> Option<Event> {
        let depth = self.containers.depth;
        self.state = if depth == 0 { State::Complete } else { State::CommaOrEnd };
        within_event_depth(Event::ValueEnds { depth }, depth)
    }

    fn string_byte(&mut self, state: StringState, byte: u8) -> Result<Option<Event>, JsonError> {
        let next = match (state, byte) {
            (StringState::Plain, b'"') => return Ok(self.end_string()),
            (StringState::Plain, b'\\') => StringState::Escape,
            (StringState::Plain, ..b' ') => return Err(JsonError("unescaped control character in a string")),
            (StringState::Plain, _) => StringState::Plain,
            (StringState::Escape, b'"' | b'\\' | b'/' | b'b' | b'f' | b'n' | b'r' | b't') => {
                StringState::Plain
            }
            (StringState::Escape, b'u') => StringState::HexDigits(4),
            (StringState::Escape, _) => return Err(JsonError("unknown escape sequence in a string")),
            (StringState::HexDigits(_), _) if !byte.is_ascii_hexdigit() => {
                return Err(JsonError("unknown escape sequence in a string"));
            }
            (StringState::HexDigits(1), _) => StringState::Plain,
            (StringState::HexDigits(left), _) => StringState::HexDigits(left - 1),
        };
        self.state = State::String(next);
        Ok(None)
    }

    fn end_string(&mut self) -> Option<Event> {
        if !std::mem::take(&mut self.in_name) {
            return self.end_value();
        }
        self.state = State::Colon;
        let depth = self.containers.depth;
        within_event_depth(Event::NameEnds { depth }, depth)
    }

    fn literal_byte(&mut self, rest: &'static [u8], byte: u8) -> Result<Option<Event>, JsonError> {
        match rest {
            [expected, ..] if *expected != byte => Err(JsonError("expected true, false or null")),
            [_] | [] => Ok(self.end_value()),
            [_, rest @ ..] => {
                self.state = State::Literal(rest);
                Ok(None)
            }
        }
    }

    /// Returns whether the byte belongs to the number, and advances the state if it does.
    fn continue_number(&mut self, number: NumberState, byte: u8) -> bool {
        let next = match (number, byte) {
            (NumberState::Minus, b'0') => NumberState::LeadingZero,
            (NumberState::Minus | NumberState::Integer, b'0'..=b'9') => NumberState::Integer,
            (NumberState::LeadingZero | NumberState::Integer, b'.') => NumberState::Point,
            (NumberState::Point | NumberState::Fraction, b'0'..=b'9') => NumberState::Fraction,
            (NumberState::LeadingZero | NumberState::Integer | NumberState::Fraction, b'e' | b'E') => {
                NumberState::Exponent
            }
            (NumberState::Exponent, b'+' | b'-') => NumberState::ExponentSign,
            (
                NumberState::Exponent | NumberState::ExponentSign | NumberState::ExponentDigits,
                b'0'..=b'9',
            ) => NumberState::ExponentDigits,
            _ => return false,
        };
        self.state = State::Number(next);
        true
    }
}

/// The number of bytes of a string before its closing quote, an escape, or a control character.
fn unescaped_len(input: &[u8]) -> usize {
    let special = |byte: &u8| matches!(byte, b'"' | b'\\' | ..b' ');
    input.iter().position(special).unwrap_or(input.len())
}

/// Whether a number is complete in this state.
fn may_end(number: NumberState) -> bool {
    matches!(
        number,
        NumberState::LeadingZero | NumberState::Integer | NumberState::Fraction | NumberState::ExponentDigits
    )
}

fn within_event_depth(event: Event, depth: u32) -> Option<Event> {
    (depth <= MAX_EVENT_DEPTH).then_some(event)
}

/// Checks that bytes which arrive in pieces are valid UTF-8.
#[derive(Default)]
pub struct Utf8Checker {
    /// The start of a character whose last bytes are in the next piece: three bytes at most.
    partial: Vec<u8>,
}

impl Utf8Checker {
    /// Checks the next piece.
    pub fn check(&mut self, mut piece: &[u8]) -> Result<(), JsonError> {
        while !self.partial.is_empty() {
            let Some((byte, rest)) = piece.split_first() else { return Ok(()) };
            self.partial.push(*byte);
            piece = rest;
            match incomplete_tail(&self.partial)? {
                [] => self.partial.clear(),
                _ => continue,
            }
        }
        self.partial.extend_from_slice(incomplete_tail(piece)?);
        Ok(())
    }
}

/// The bytes of an incomplete character at the end of the input.
fn incomplete_tail(bytes: &[u8]) -> Result<&[u8], JsonError> {
    match std::str::from_utf8(bytes) {
        Ok(_) => Ok(&[]),
        Err(error) if error.error_len().is_none() => Ok(&bytes[error.valid_up_to()..]),
        Err(_) => Err(JsonError("invalid UTF-8")),
    }
}
