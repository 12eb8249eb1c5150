//! The bounds of an experiment: conditions on figures of its result, such as `credit >= 0.7`.

use winnow::ascii::{float, space0};
use winnow::combinator::{alt, delimited};
use winnow::token::take_while;
use winnow::{ModalResult, Parser};

use super::figures::{self, FIGURES};

/// A condition on one figure that must hold for the experiment to succeed.
#[derive(Clone, Debug, PartialEq)]
pub struct Bound {
    /// The name of the figure, one of [`FIGURES`].
    pub figure: String,
    operator: &'static str,
    threshold: f64,
}

impl Bound {
    /// Parses a bound as written in an experiment, such as `credit >= 0.7`.
    ///
    /// # Errors
    /// A message that quotes the text and says what was expected: the syntax, or the names of the known
    /// figures.
    pub fn parse(text: &str) -> Result<Bound, String> {
        let mut parser = (figure_name, delimited(space0, operator, space0), float::<_, f64, _>);
        let parsed = parser.parse(text.trim()).map_err(|_| {
            format!("{text:?}: expected the name of a figure, one of <= >= < > = and a number")
        })?;
        let (figure, operator, threshold) = parsed;
        if !figures::is_known(figure) {
            let known: Vec<&str> = FIGURES.iter().map(|known| known.name).collect();
            return Err(format!("{text:?}: unknown figure {figure}; known figures: {}", known.join(", ")));
        }
        Ok(Bound { figure: figure.to_owned(), operator, threshold })
    }

    /// Whether the value satisfies the bound.
    pub fn is_satisfied_by(&self, value: f64) -> bool {
        match self.operator {
            "<=" => value <= self.threshold,
            ">=" => value >= self.threshold,
            "<" => value < self.threshold,
            ">" => value > self.threshold,
            _ => value == self.threshold,
        }
    }
}

fn figure_name<'a>(input: &mut &'a str) -> ModalResult<&'a str> {
    take_while(1.., ('a'..='z', '0'..='9', '_')).parse_next(input)
}

fn operator(input: &mut &str) -> ModalResult<&'static str> {
    alt(("<=".value("<="), ">=".value(">="), "<".value("<"), ">".value(">"), "=".value("=")))
        .parse_next(input)
}
