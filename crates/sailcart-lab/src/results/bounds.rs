//! Bounds that an experiment states: a figure, how it compares, and an amount.

use winnow::ascii::{float, space0};
use winnow::combinator::{alt, delimited};
use winnow::token::take_while;
use winnow::{ModalResult, Parser};

use super::figures::{self, FIGURES};

/// What a figure must be for an experiment to succeed.
#[derive(Clone, Debug, PartialEq)]
pub struct Bound {
    /// The name of the figure.
    pub figure: String,
    sign: &'static str,
    amount: f64,
}

impl Bound {
    /// Reads a bound as an experiment states it, such as `credit >= 0.7`.
    ///
    /// # Errors
    /// What was expected, in words, with the text as it stands.
    pub fn read(text: &str) -> Result<Bound, String> {
        let mut whole = (name, delimited(space0, sign, space0), float::<_, f64, _>);
        let bound = whole
            .parse(text.trim())
            .map_err(|_| format!("{text:?}: expected a figure, one of <= >= < > =, and a number"))?;
        let (figure, sign, amount) = bound;
        if !figures::is_known(figure) {
            let known: Vec<&str> = FIGURES.iter().map(|known| known.name).collect();
            return Err(format!("{text:?}: no figure {figure}; there are {}", known.join(", ")));
        }
        Ok(Bound { figure: figure.to_owned(), sign, amount })
    }

    /// Whether a value keeps the bound.
    pub fn holds(&self, value: f64) -> bool {
        match self.sign {
            "<=" => value <= self.amount,
            ">=" => value >= self.amount,
            "<" => value < self.amount,
            ">" => value > self.amount,
            _ => value == self.amount,
        }
    }
}

fn name<'a>(input: &mut &'a str) -> ModalResult<&'a str> {
    take_while(1.., ('a'..='z', '0'..='9', '_')).parse_next(input)
}

fn sign(input: &mut &str) -> ModalResult<&'static str> {
    alt(("<=".value("<="), ">=".value(">="), "<".value("<"), ">".value(">"), "=".value("=")))
        .parse_next(input)
}
