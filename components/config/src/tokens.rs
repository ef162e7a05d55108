//! Salted token hashes.
//!
//! The hash is fast, so a token must be a long random text and not a password that people choose.

use model::Account;

const MIN_SALT_LENGTH: usize = 16;
const MAX_SALT_LENGTH: usize = 64;

/// Returns `salt:hash` for a token with a new salt.
pub fn new_token_hash(token: &str) -> Box<str> {
    // A salt must be unique and need not be secret, so the thread's random generator is enough.
    let salt = format!("{:032x}", fastrand::u128(..));
    hash_token(&salt, token)
}

/// Returns `salt:hash` for a token with a given salt in hexadecimal.
pub fn hash_token(salt: &str, token: &str) -> Box<str> {
    let hash = hash(salt, token);
    format!("{salt}:{hash}").into()
}

/// Returns whether the token is one of the account's tokens, in a time that does not depend on which one.
pub fn verify_token(account: &Account, token: &str) -> bool {
    let matches = account.tokens.iter().map(|stored| matches(stored, token));
    matches.fold(false, |found, matched| found | matched)
}

fn matches(stored: &str, token: &str) -> bool {
    let Some((salt, expected)) = stored.split_once(':') else {
        return false;
    };
    let Ok(expected) = blake3::Hash::from_hex(expected) else {
        return false;
    };
    // The comparison of two `blake3::Hash` values takes constant time.
    hash(salt, token) == expected
}

/// The salt has no `:`, so no other pair of salt and token gives the same input.
fn hash(salt: &str, token: &str) -> blake3::Hash {
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
    let salt_fits = (MIN_SALT_LENGTH..=MAX_SALT_LENGTH).contains(&salt.len());
    salt_fits && hex(salt) && hash.len() == 2 * blake3::OUT_LEN && hex(hash)
}
