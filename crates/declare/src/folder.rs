//! A deployment's folder.

use std::fs;
use std::io::Read as _;
use std::path::Path;
use std::rc::Rc;

use camphorwalk_core::config::{Config, Target};
use camphorwalk_core::units::ConfigVersion;
use serde::de::DeserializeOwned;

use crate::bundles::{MAX_BUNDLE_BYTES, bundle};
use crate::checks::check_parts;
use crate::documents::{Document, Placeholders, ROOT, fault};
use crate::errors::{Fault, Faults, Result};
use crate::parts::{Parts, Placed};
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
    let mut reader = Reader::new(dir);
    reader.read_fleet();
    reader.read_targets();
    reader.read_templates();
    reader.read_tenants();
    reader.find_strays();

    let Reader { mut parts, mut faults, placeholders, .. } = reader;
    parts.templates.sort_by(|a, b| a.item.name.cmp(&b.item.name));
    parts.tenants.sort_by(|a, b| a.item.name.cmp(&b.item.name));
    let is_real = |fault: &Fault| !placeholders.iter().any(|p| p.cover(fault));
    faults.extend(check_parts(&parts).into_iter().filter(is_real));

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
    /// Where placeholders stand, for each file that could be read.
    placeholders: Vec<Rc<Placeholders>>,
}

impl<'a> Reader<'a> {
    /// Makes a reader that has read nothing yet.
    fn new(dir: &'a Path) -> Self {
        Self { dir, parts: Parts::default(), faults: Vec::new(), placeholders: Vec::new() }
    }

    /// Reads `fleet.json`.
    fn read_fleet(&mut self) {
        let reading = self.read(FLEET_FILE, schema::FLEET);
        self.parts.unread.zones |= reading.misses("$.zones");
        self.parts.unread.classes |= reading.misses("$.classes");

        self.parts.fleet = reading.item.map(|fleet| Placed::new(FLEET_FILE, ROOT, fleet));
    }

    /// Reads `targets.json`.
    fn read_targets(&mut self) {
        let reading = self.read::<TargetsFile>(TARGETS_FILE, schema::TARGETS);
        self.parts.unread.pools |= reading.misses("$.targets");

        let targets = reading.item.map(|file| file.targets).unwrap_or_default();
        for (index, target) in targets.into_iter().enumerate() {
            let path = format!("{ROOT}.targets[{index}]");
            self.parts.targets.push(Placed::new(TARGETS_FILE, &path, target));
        }
    }

    /// Reads the files of `templates`.
    fn read_templates(&mut self) {
        let files = self.list(TEMPLATES_FOLDER);
        self.parts.unread.templates |= files.is_none();

        for file in files.unwrap_or_default() {
            let reading = self.read(&file, schema::TEMPLATE);
            self.parts.unread.templates |= reading.misses("$.name");

            let template = reading.item.map(|template| Placed::new(&file, ROOT, template));
            self.parts.templates.extend(template);
        }
    }

    /// Reads the files of `tenants`.
    fn read_tenants(&mut self) {
        for file in self.list(TENANTS_FOLDER).unwrap_or_default() {
            let reading = self.read(&file, schema::TENANT);

            let tenant = reading.item.map(|tenant| Placed::new(&file, ROOT, tenant));
            self.parts.tenants.extend(tenant);
        }
    }

    /// Turns a file into a type, noting all its faults.
    fn read<T: DeserializeOwned>(&mut self, file: &str, shape: Shape) -> FileReading<T> {
        let parsed = match read_file(&self.dir.join(file)) {
            Ok(bytes) => Document::parse(file, &bytes),
            Err(reason) => Err(fault(file, ROOT, reason)),
        };
        let document = match parsed {
            Ok(document) => document,
            Err(fault) => {
                self.faults.push(fault);
                return FileReading { item: None, placeholders: None };
            }
        };

        let reading = document.read(shape);
        self.faults.extend(reading.faults);
        let placeholders = Rc::new(reading.placeholders);
        self.placeholders.push(Rc::clone(&placeholders));
        FileReading { item: reading.item, placeholders: Some(placeholders) }
    }

    /// Lists the declarations in a folder, sorted; none if it cannot be listed.
    fn list(&mut self, folder: &str) -> Option<Vec<String>> {
        let names = own_folder(&self.dir.join(folder))
            .map_err(|reason| self.faults.push(fault(folder, ROOT, reason)))
            .ok()?;

        let (files, strays): (Vec<_>, Vec<_>) = names.into_iter().partition(|n| is_json(n));
        for stray in strays {
            // A file that is passed over because of its name would be missed too late.
            let reason = "only files that end in .json belong here";
            self.faults.push(fault(&format!("{folder}/{stray}"), ROOT, reason));
        }
        Some(files.into_iter().map(|name| format!("{folder}/{name}")).collect())
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

/// What a file was read as.
struct FileReading<T> {
    /// The type, if the file could be read.
    item: Option<T>,
    /// Where placeholders stand, if the file could be read.
    placeholders: Option<Rc<Placeholders>>,
}

impl<T> FileReading<T> {
    /// Returns whether something at this path could not be read.
    fn misses(&self, path: &str) -> bool {
        self.item.is_none() || self.placeholders.as_ref().is_none_or(|p| p.touch(path))
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

/// Lists the entries of a folder that is no link, for the same reason as with files.
fn own_folder(dir: &Path) -> std::result::Result<Vec<String>, String> {
    match fs::symlink_metadata(dir) {
        Ok(metadata) if !metadata.is_dir() => Err("is not a plain folder".to_owned()),
        _ => entry_names(dir),
    }
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
