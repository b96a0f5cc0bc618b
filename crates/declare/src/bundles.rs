//! The bytes that a configuration is published as.

use camphorwalk_core::config::Config;

use crate::checks::check;
use crate::documents::{Document, ROOT};
use crate::errors::{Fault, Faults, Result};
use crate::parts::WHOLE;
use crate::schema;

/// The largest bundle, in bytes. Hosts pass it on in one frame.
pub const MAX_BUNDLE_BYTES: usize = 3 << 20;

/// Returns the canonical JSON of a configuration: no spaces, fields in the order of the
/// types, lists as they are.
///
/// ```
/// use camphorwalk_declare::{bundle, load, unbundle};
/// # let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deployments/inzira");
/// let config = load(folder.as_ref()).unwrap();
/// assert_eq!(unbundle(&bundle(&config)).unwrap(), config);
/// ```
pub fn bundle(config: &Config) -> Box<[u8]> {
    // The type holds nothing that JSON cannot say; a number that is not finite becomes
    // `null`, which no check lets pass.
    serde_json::to_vec(config).expect("a configuration is JSON").into()
}

/// Reads a bundle back and checks it, as hosts do before they adopt it.
pub fn unbundle(bytes: &[u8]) -> Result<Config> {
    if bytes.len() > MAX_BUNDLE_BYTES {
        let reason = format!("is larger than {MAX_BUNDLE_BYTES} bytes");
        return Err(Faults::one(WHOLE, ROOT, reason));
    }

    // What serde takes has no fault of shape; the walk that finds them all takes longer, and
    // hosts read bundles between other decisions.
    let (item, mut faults, placeholders) = match serde_json::from_slice(bytes) {
        Ok(config) => (Some(config), Vec::new(), None),
        Err(_) => {
            let document = Document::parse(WHOLE, bytes).map_err(|f| Faults::of(vec![f]))?;
            let reading = document.read::<Config>(schema::CONFIG);
            (reading.item, reading.faults, Some(reading.placeholders))
        }
    };

    let is_real = |fault: &Fault| !placeholders.as_ref().is_some_and(|p| p.cover(fault));
    faults.extend(item.iter().flat_map(check).filter(is_real));
    match item {
        Some(config) if faults.is_empty() => Ok(config),
        _ => Err(Faults::of(faults)),
    }
}
