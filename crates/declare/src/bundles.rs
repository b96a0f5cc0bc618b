//! Bundles: the byte form in which a configuration is published.

use camphorwalk_core::config::Config;

use crate::checks::check;
use crate::declarations::WHOLE_CONFIG;
use crate::documents::{Document, ROOT};
use crate::errors::{Fault, Faults, Result};
use crate::schema;

/// The largest bundle, in bytes. Hosts send a bundle to each other in one frame.
pub const MAX_BUNDLE_BYTES: usize = 3 << 20;

/// Returns the canonical JSON of a configuration: without spaces, with the fields in the order of
/// their declaration in the types and lists in their given order.
///
/// ```
/// use camphorwalk_declare::{bundle, load, unbundle};
/// # let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deployments/inzira");
/// let config = load(folder.as_ref()).unwrap();
/// assert_eq!(unbundle(&bundle(&config)).unwrap(), config);
/// ```
pub fn bundle(config: &Config) -> Box<[u8]> {
    // Every value of the type can be written as JSON. A number that is not finite becomes `null`,
    // and reading the bundle back reports that as a fault.
    serde_json::to_vec(config).expect("a configuration serializes to JSON").into()
}

/// Parses a bundle and checks the configuration, as hosts do before they adopt it.
pub fn unbundle(bytes: &[u8]) -> Result<Config> {
    if bytes.len() > MAX_BUNDLE_BYTES {
        let reason = format!("is larger than {MAX_BUNDLE_BYTES} bytes");
        return Err(Faults::single(WHOLE_CONFIG, ROOT, reason));
    }

    // If serde accepts the bundle, its shape has no faults. Collecting all faults of shape is
    // slower, so it is done only if serde fails: hosts parse bundles on the control thread,
    // between other decisions.
    let (item, mut faults, placeholders) = match serde_json::from_slice(bytes) {
        Ok(config) => (Some(config), Vec::new(), None),
        Err(_) => {
            let document =
                Document::parse(WHOLE_CONFIG, bytes).map_err(|f| Faults::from_unsorted(vec![f]))?;
            let conversion = document.convert::<Config>(schema::CONFIG);
            (conversion.item, conversion.faults, Some(conversion.placeholders))
        }
    };

    let is_genuine = |fault: &Fault| !placeholders.as_ref().is_some_and(|p| p.covers(fault));
    faults.extend(item.iter().flat_map(check).filter(is_genuine));
    match item {
        Some(config) if faults.is_empty() => Ok(config),
        _ => Err(Faults::from_unsorted(faults)),
    }
}
