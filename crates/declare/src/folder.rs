//! A deployment's folder.

use std::fs;
use std::io::Read as _;
use std::path::Path;

use camphorwalk_core::config::{Config, Target};
use camphorwalk_core::units::ConfigVersion;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::bundles::{MAX_BUNDLE_BYTES, bundle};
use crate::checks::check_parts;
use crate::documents::{Document, ROOT, fault};
use crate::errors::{Fault, Faults, Result};
use crate::parts::{Names, Parts, Placed};
use crate::schema;
use crate::shapes::Shape;

/// The largest file that is read, in bytes.
pub const MAX_FILE_BYTES: u64 = 512 * 1024;

const FLEET_FILE: &str = "fleet.json";
const TARGETS_FILE: &str = "targets.json";
const TEMPLATES_FOLDER: &str = "templates";
const TENANTS_FOLDER: &str = "tenants";

/// The extension of declarations.
const EXTENSION: &str = "json";

/// Reads a deployment's folder and checks it; on faults, returns all of them.
///
/// Templates and tenants come out in the order of their names, however the files are
/// called, so that the same declarations always make the same bundle.
///
/// ```
/// let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deployments/inkwick");
/// let config = camphorwalk_declare::load(folder.as_ref()).unwrap();
/// assert_eq!(&*config.fleet.name, "inkwick");
///
/// let faults = camphorwalk_declare::load("no/such/folder".as_ref()).unwrap_err();
/// assert_eq!(&*faults.as_slice()[0].file, "fleet.json");
/// ```
pub fn load(dir: &Path) -> Result<Config> {
    let mut reader = Reader { dir, parts: Parts::default(), faults: Vec::new() };
    reader.read_fleet();
    reader.read_targets();
    reader.read_templates();
    reader.read_tenants();
    reader.find_strays();

    let Reader { mut parts, mut faults, .. } = reader;
    parts.templates.sort_by(|a, b| a.item.name.cmp(&b.item.name));
    parts.tenants.sort_by(|a, b| a.item.name.cmp(&b.item.name));
    faults.extend(check_parts(&parts));

    match parts.fleet.take() {
        Some(fleet) if faults.is_empty() => within_limit(Config {
            version: ConfigVersion::default(),
            fleet: fleet.item,
            targets: items(parts.targets),
            templates: items(parts.templates),
            tenants: items(parts.tenants),
        }),
        _ => Err(Faults::of(faults)),
    }
}

/// Refuses a configuration that is too large to be published.
fn within_limit(config: Config) -> Result<Config> {
    let size = bundle(&config).len();

    if size > MAX_BUNDLE_BYTES {
        let reason = format!("the whole takes {size} bytes, the most is {MAX_BUNDLE_BYTES}");
        return Err(Faults::one(FLEET_FILE, ROOT, reason));
    }
    Ok(config)
}

/// Returns the things without their places.
fn items<T>(placed: Vec<Placed<T>>) -> Vec<T> {
    placed.into_iter().map(|placed| placed.item).collect()
}

/// Reads the files of a folder.
struct Reader<'a> {
    /// The folder.
    dir: &'a Path,
    /// What could be read.
    parts: Parts,
    /// What is wrong.
    faults: Vec<Fault>,
}

impl Reader<'_> {
    /// Reads `fleet.json`.
    fn read_fleet(&mut self) {
        let Some(document) = self.parse(FLEET_FILE) else {
            self.parts.unread.zones.any = true;
            self.parts.unread.classes.any = true;
            return;
        };

        match self.read(&document, schema::FLEET) {
            Some(fleet) => self.parts.fleet = Some(Placed::new(FLEET_FILE, ROOT, fleet)),
            None => {
                add_names(&mut self.parts.unread.zones, &document.value["zones"], "name");
                add_names(&mut self.parts.unread.classes, &document.value["classes"], "name");
            }
        }
    }

    /// Reads `targets.json`.
    fn read_targets(&mut self) {
        let Some(document) = self.parse(TARGETS_FILE) else {
            self.parts.unread.pools.any = true;
            return;
        };
        let Some(file) = self.read::<TargetsFile>(&document, schema::TARGETS) else {
            add_names(&mut self.parts.unread.pools, &document.value["targets"], "pool");
            return;
        };

        for (index, target) in file.targets.into_iter().enumerate() {
            let path = format!("{ROOT}.targets[{index}]");
            self.parts.targets.push(Placed::new(TARGETS_FILE, &path, target));
        }
    }

    /// Reads the files of `templates`.
    fn read_templates(&mut self) {
        for file in self.list(TEMPLATES_FOLDER) {
            let Some(document) = self.parse(&file) else {
                self.parts.unread.templates.any = true;
                continue;
            };

            match self.read(&document, schema::TEMPLATE) {
                Some(template) => {
                    self.parts.templates.push(Placed::new(&file, ROOT, template));
                }
                None => add_name(&mut self.parts.unread.templates, &document.value["name"]),
            }
        }
    }

    /// Reads the files of `tenants`.
    fn read_tenants(&mut self) {
        for file in self.list(TENANTS_FOLDER) {
            let Some(document) = self.parse(&file) else { continue };

            if let Some(tenant) = self.read(&document, schema::TENANT) {
                self.parts.tenants.push(Placed::new(&file, ROOT, tenant));
            }
        }
    }

    /// Turns a document into a type, noting all its faults.
    fn read<T: DeserializeOwned>(&mut self, document: &Document, shape: Shape) -> Option<T> {
        let faults = document.walk(shape);
        if !faults.is_empty() {
            self.faults.extend(faults);
            return None;
        }

        document.read().map_err(|fault| self.faults.push(fault)).ok()
    }

    /// Reads and parses a file.
    fn parse(&mut self, file: &str) -> Option<Document> {
        let parsed = match read_file(&self.dir.join(file)) {
            Ok(bytes) => Document::parse(file, bytes),
            Err(reason) => Err(fault(file, ROOT, reason)),
        };

        parsed.map_err(|fault| self.faults.push(fault)).ok()
    }

    /// Lists the declarations in a folder, sorted.
    fn list(&mut self, folder: &str) -> Vec<String> {
        let names = match entry_names(&self.dir.join(folder)) {
            Ok(names) => names,
            Err(reason) => {
                self.faults.push(fault(folder, ROOT, reason));
                return Vec::new();
            }
        };

        let (files, strays): (Vec<_>, Vec<_>) = names.into_iter().partition(|n| is_json(n));
        for stray in strays {
            // A file that is passed over because of its name would be missed too late.
            let reason = "only files that end in .json belong here";
            self.faults.push(fault(&format!("{folder}/{stray}"), ROOT, reason));
        }
        files.into_iter().map(|name| format!("{folder}/{name}")).collect()
    }

    /// Finds JSON files in the folder itself that nothing reads.
    fn find_strays(&mut self) {
        let names = entry_names(self.dir).unwrap_or_default();

        for name in names.iter().filter(|name| is_json(name)) {
            if name != FLEET_FILE && name != TARGETS_FILE {
                self.faults.push(fault(
                    name,
                    ROOT,
                    "no such declaration; is it in a wrong folder?",
                ));
            }
        }
    }
}

/// The content of `targets.json`.
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct TargetsFile {
    /// The targets.
    targets: Vec<Target>,
}

/// Adds a name, if it is one.
fn add_name(names: &mut Names, value: &Value) {
    match value.as_str() {
        Some(name) => {
            names.some.insert(name.into());
        }
        None => names.any = true,
    }
}

/// Adds the names in a field of each entry of a list.
fn add_names(names: &mut Names, list: &Value, field: &str) {
    match list.as_array() {
        Some(entries) => entries.iter().for_each(|entry| add_name(names, &entry[field])),
        None => names.any = true,
    }
}

/// Returns whether a file is a declaration by its name.
fn is_json(name: &str) -> bool {
    Path::new(name).extension().is_some_and(|extension| extension == EXTENSION)
}

/// Lists a folder's entries but hidden ones, sorted.
fn entry_names(dir: &Path) -> std::result::Result<Vec<String>, String> {
    let entries = fs::read_dir(dir).map_err(|error| format!("cannot be listed: {error}"))?;
    let mut names = Vec::new();

    for entry in entries {
        let entry = entry.map_err(|error| format!("cannot be listed: {error}"))?;
        let name = entry.file_name().to_string_lossy().into_owned();
        if !name.starts_with('.') {
            names.push(name);
        }
    }

    names.sort();
    Ok(names)
}

/// Reads a file of at most [`MAX_FILE_BYTES`].
fn read_file(path: &Path) -> std::result::Result<Vec<u8>, String> {
    let unreadable = |error| format!("cannot be read: {error}");

    // What a link points at is not under version control with the folder.
    let metadata = fs::symlink_metadata(path).map_err(unreadable)?;
    if !metadata.is_file() {
        return Err("is not a plain file".to_owned());
    }

    // The file may grow while it is read, so the limit holds for what is read.
    let file = fs::File::open(path).map_err(unreadable)?;
    let mut bytes = Vec::new();
    file.take(MAX_FILE_BYTES + 1).read_to_end(&mut bytes).map_err(unreadable)?;
    if bytes.len() as u64 > MAX_FILE_BYTES {
        return Err(format!("is larger than {MAX_FILE_BYTES} bytes"));
    }

    Ok(bytes)
}
