//! Bounds that an experiment states: a figure, how it compares, and an amount.

use winnow::ascii::{float, space0};
use winnow::combinator::{alt, delimited};
use winnow::token::take_while;
use winnow::{ModalResult, Parser};

use super::tally::MEANINGS;

#[derive(Clone, Debug, PartialEq)]
pub struct Bound {
    pub figure: String,
    sign: &'static str,
    amount: f64,
}

impl Bound {
    pub fn read(text: &str) -> Result<Bound, String> {
        let mut whole = (name, delimited(space0, sign, space0), float::<_, f64, _>);
        let bound = whole
            .parse(text.trim())
            .map_err(|_| format!("{text:?}: expected a figure, one of <= >= < > =, and a number"))?;
        let (figure, sign, amount) = bound;
        if !MEANINGS.iter().any(|(known, _)| *known == figure) {
            let known: Vec<&str> = MEANINGS.iter().map(|(known, _)| *known).collect();
            return Err(format!("{text:?}: no figure {figure}; there are {}", known.join(", ")));
        }
        Ok(Bound { figure: figure.to_owned(), sign, amount })
    }

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
