//! Keys and keyed hashes for frames and datagrams.

use std::fmt;

use blake3::Hash;

/// Length of an authentication tag in bytes; 128 bits resist forgery for the lifetime of a key.
pub(crate) const TAG_LEN: usize = 16;
/// Length of a connection nonce in bytes.
pub(crate) const NONCE_LEN: usize = 16;

const PEER_KEY_CONTEXT: &str = "limpethook 2026-12 peer key";

/// Secret key that all processes of a deployment share.
#[derive(Clone)]
pub struct Key([u8; blake3::KEY_LEN]);

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key")
    }
}

impl Key {
    /// Derives the key from the secret in the settings file.
    pub fn from_secret(secret: &str) -> Self {
        Self(blake3::derive_key(PEER_KEY_CONTEXT, secret.as_bytes()))
    }

    /// Derives the key for one direction of a connection from the nonces of both sides.
    pub(crate) fn for_direction(&self, label: u8, nonces: &[u8; 2 * NONCE_LEN]) -> Self {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(&[label]).update(nonces);
        Self(*hasher.finalize().as_bytes())
    }

    /// Returns the authentication tag of a message with a sequence number.
    pub(crate) fn tag(&self, sequence: u64, message: &[u8]) -> [u8; TAG_LEN] {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(&sequence.to_le_bytes()).update(message);
        truncate(hasher.finalize())
    }

    /// Verifies a tag in constant time.
    pub(crate) fn verify(&self, sequence: u64, message: &[u8], tag: &[u8]) -> bool {
        let expected = self.tag(sequence, message);
        tag.len() == TAG_LEN && padded(&expected) == padded(tag)
    }
}

fn truncate(hash: Hash) -> [u8; TAG_LEN] {
    let mut tag = [0; TAG_LEN];
    tag.copy_from_slice(&hash.as_bytes()[..TAG_LEN]);
    tag
}

/// Pads a tag to a `Hash`, which is compared in constant time.
fn padded(tag: &[u8]) -> Hash {
    let mut bytes = [0; blake3::OUT_LEN];
    bytes[..TAG_LEN].copy_from_slice(tag);
    Hash::from_bytes(bytes)
}
