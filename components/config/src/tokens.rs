//! Salted hashes of tokens.
//!
//! The hash function is fast, so tokens must be long random strings, not passwords chosen by people.

use model::Account;

const MIN_SALT_LENGTH: usize = 16;
const MAX_SALT_LENGTH: usize = 64;

/// Returns `salt:hash` for a token with a new salt.
pub fn new_token_hash(token: &str) -> Box<str> {
    // The salt has to be unique but not secret, so a cryptographic random number generator is not required.
    let salt = format!("{:032x}", fastrand::u128(..));
    hash_token(&salt, token)
}

/// Returns `salt:hash` for a token and a hexadecimal salt.
pub fn hash_token(salt: &str, token: &str) -> Box<str> {
    let hash = compute_hash(salt, token);
    format!("{salt}:{hash}").into()
}

/// Returns whether the token is one of the account's tokens, in a time that does not depend on which of them matches.
pub fn verify_token(account: &Account, token: &str) -> bool {
    let matches = account
        .tokens
        .iter()
        .map(|stored| token_matches(stored, token));
    matches.fold(false, |found, matched| found | matched)
}

fn token_matches(stored: &str, token: &str) -> bool {
    let Some((salt, expected)) = stored.split_once(':') else {
        return false;
    };
    let Ok(expected) = blake3::Hash::from_hex(expected) else {
        return false;
    };
    // `blake3::Hash` values are compared in constant time.
    compute_hash(salt, token) == expected
}

/// The input is unambiguous, because a salt contains no `:`.
fn compute_hash(salt: &str, token: &str) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new();
    hasher.update(salt.as_bytes());
    hasher.update(b":");
    hasher.update(token.as_bytes());
    hasher.finalize()
}

pub(crate) fn is_token_hash(text: &str) -> bool {
    let hex = |part: &str| part.bytes().all(|byte| byte.is_ascii_hexdigit());
    let Some((salt, hash)) = text.split_once(':') else {
        return false;
    };
    let is_salt_length = (MIN_SALT_LENGTH..=MAX_SALT_LENGTH).contains(&salt.len());
    is_salt_length && hex(salt) && hash.len() == 2 * blake3::OUT_LEN && hex(hash)
}
