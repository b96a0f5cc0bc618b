//! Reads the declarations of a deployment from its folder.

use std::fs;
use std::io::Read as _;
use std::path::Path;
use std::rc::Rc;

use camphorwalk_core::config::{Config, Target};
use camphorwalk_core::units::ConfigVersion;
use serde::de::DeserializeOwned;

use crate::bundles::{MAX_BUNDLE_BYTES, bundle};
use crate::checks::check_declarations;
use crate::declarations::{Declarations, Located};
use crate::documents::{Document, Placeholders, ROOT, fault};
use crate::errors::{Fault, Faults, Result};
use crate::schema;
use crate::shapes::Shape;

/// The largest file of declarations that is accepted, in bytes.
pub const MAX_FILE_BYTES: u64 = 512 * 1024;

const FLEET_FILE: &str = "fleet.json";
const TARGETS_FILE: &str = "targets.json";
const TEMPLATES_FOLDER: &str = "templates";
const TENANTS_FOLDER: &str = "tenants";

/// The file extension of declarations.
const EXTENSION: &str = "json";

/// Reads and checks a deployment's folder, and returns either the configuration or all faults.
///
/// Templates and tenants are sorted by name, independent of the file names, so that the same
/// declarations always result in the same bundle.
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
    let mut reader = FolderReader::new(dir);
    reader.read_fleet();
    reader.read_targets();
    reader.read_templates();
    reader.read_tenants();
    reader.find_unknown_files();

    let FolderReader { mut declarations, mut faults, placeholders, .. } = reader;
    declarations.templates.sort_by(|a, b| a.item.name.cmp(&b.item.name));
    declarations.tenants.sort_by(|a, b| a.item.name.cmp(&b.item.name));
    let is_genuine = |fault: &Fault| !placeholders.iter().any(|p| p.covers(fault));
    faults.extend(check_declarations(&declarations).into_iter().filter(is_genuine));

    match declarations.fleet.take() {
        Some(fleet) if faults.is_empty() => check_size(Config {
            version: ConfigVersion::default(),
            fleet: fleet.item,
            targets: into_items(declarations.targets),
            templates: into_items(declarations.templates),
            tenants: into_items(declarations.tenants),
        }),
        _ => Err(Faults::from_unsorted(faults)),
    }
}

/// Rejects a configuration that is too large to be published.
fn check_size(config: Config) -> Result<Config> {
    let size = bundle(&config).len();

    if size > MAX_BUNDLE_BYTES {
        let reason = format!("the whole takes {size} bytes, the most is {MAX_BUNDLE_BYTES}");
        return Err(Faults::single(FLEET_FILE, ROOT, reason));
    }
    Ok(config)
}

/// Returns the declarations without their locations.
fn into_items<T>(located: Vec<Located<T>>) -> Vec<T> {
    located.into_iter().map(|located| located.item).collect()
}

/// Reads the files of a deployment's folder.
struct FolderReader<'a> {
    /// The deployment's folder.
    dir: &'a Path,
    /// The declarations that could be read.
    declarations: Declarations,
    /// The faults found so far.
    faults: Vec<Fault>,
    /// The placeholders of each file that could be parsed.
    placeholders: Vec<Rc<Placeholders>>,
}

impl<'a> FolderReader<'a> {
    /// Creates a reader for a folder, which reads nothing yet.
    fn new(dir: &'a Path) -> Self {
        Self {
            dir,
            declarations: Declarations::default(),
            faults: Vec::new(),
            placeholders: Vec::new(),
        }
    }

    /// Reads `fleet.json`.
    fn read_fleet(&mut self) {
        let reading = self.read(FLEET_FILE, schema::FLEET);
        self.declarations.unread_names.zones |= reading.is_unread("$.zones");
        self.declarations.unread_names.classes |= reading.is_unread("$.classes");

        self.declarations.fleet = reading.item.map(|fleet| Located::new(FLEET_FILE, ROOT, fleet));
    }

    /// Reads `targets.json`.
    fn read_targets(&mut self) {
        let reading = self.read::<TargetsFile>(TARGETS_FILE, schema::TARGETS);
        self.declarations.unread_names.pools |= reading.is_unread("$.targets");

        let targets = reading.item.map(|file| file.targets).unwrap_or_default();
        for (index, target) in targets.into_iter().enumerate() {
            let path = format!("{ROOT}.targets[{index}]");
            self.declarations.targets.push(Located::new(TARGETS_FILE, &path, target));
        }
    }

    /// Reads the files of `templates`.
    fn read_templates(&mut self) {
        let files = self.list(TEMPLATES_FOLDER);
        self.declarations.unread_names.templates |= files.is_none();

        for file in files.unwrap_or_default() {
            let reading = self.read(&file, schema::TEMPLATE);
            self.declarations.unread_names.templates |= reading.is_unread("$.name");

            let template = reading.item.map(|template| Located::new(&file, ROOT, template));
            self.declarations.templates.extend(template);
        }
    }

    /// Reads the files of `tenants`.
    fn read_tenants(&mut self) {
        for file in self.list(TENANTS_FOLDER).unwrap_or_default() {
            let reading = self.read(&file, schema::TENANT);

            let tenant = reading.item.map(|tenant| Located::new(&file, ROOT, tenant));
            self.declarations.tenants.extend(tenant);
        }
    }

    /// Reads a file and converts it to a type. All its faults are added to `self.faults`.
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

        let reading = document.convert(shape);
        self.faults.extend(reading.faults);
        let placeholders = Rc::new(reading.placeholders);
        self.placeholders.push(Rc::clone(&placeholders));
        FileReading { item: reading.item, placeholders: Some(placeholders) }
    }

    /// Returns the sorted paths of the declarations in a subfolder, or `None`, with a fault, if it
    /// cannot be listed.
    fn list(&mut self, folder: &str) -> Option<Vec<String>> {
        let names = list_plain_folder(&self.dir.join(folder))
            .map_err(|reason| self.faults.push(fault(folder, ROOT, reason)))
            .ok()?;

        let (files, others): (Vec<_>, Vec<_>) = names.into_iter().partition(|n| is_json(n));
        for other in others {
            // If a misnamed file were skipped silently, its declaration would be missing unnoticed.
            let reason = "only files that end in .json belong here";
            self.faults.push(fault(&format!("{folder}/{other}"), ROOT, reason));
        }
        Some(files.into_iter().map(|name| format!("{folder}/{name}")).collect())
    }

    /// Reports JSON files at the top level of the folder that are not read.
    fn find_unknown_files(&mut self) {
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

/// The type of the content of `targets.json`.
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct TargetsFile {
    /// All targets of the deployment.
    targets: Vec<Target>,
}

/// The result of reading a file and converting it to a type.
struct FileReading<T> {
    /// The value, or `None` if the file could not be read or converted.
    item: Option<T>,
    /// The placeholders in the value, or `None` if the file could not be parsed.
    placeholders: Option<Rc<Placeholders>>,
}

impl<T> FileReading<T> {
    /// Returns whether any value at, within or around this path could not be read.
    fn is_unread(&self, path: &str) -> bool {
        self.item.is_none() || self.placeholders.as_ref().is_none_or(|p| p.overlaps(path))
    }
}

/// Returns whether a file name has the extension of declarations.
fn is_json(name: &str) -> bool {
    Path::new(name).extension().is_some_and(|extension| extension == EXTENSION)
}

/// Returns the sorted names of a folder's entries, without hidden ones.
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

/// Lists the entries of a folder that is not a symbolic link. Links are rejected for the same
/// reason as in [`read_file`].
fn list_plain_folder(dir: &Path) -> std::result::Result<Vec<String>, String> {
    match fs::symlink_metadata(dir) {
        Ok(metadata) if !metadata.is_dir() => Err("is not a plain folder".to_owned()),
        _ => entry_names(dir),
    }
}

/// Reads a regular file of at most [`MAX_FILE_BYTES`].
fn read_file(path: &Path) -> std::result::Result<Vec<u8>, String> {
    let unreadable = |error| format!("cannot be read: {error}");

    // The target of a symbolic link is not under version control with the folder, so it could
    // change without a change of the folder.
    let metadata = fs::symlink_metadata(path).map_err(unreadable)?;
    if !metadata.is_file() {
        return Err("is not a plain file".to_owned());
    }

    // The file may grow while it is read, so the limit applies to the bytes actually read.
    let file = fs::File::open(path).map_err(unreadable)?;
    let mut bytes = Vec::new();
    file.take(MAX_FILE_BYTES + 1).read_to_end(&mut bytes).map_err(unreadable)?;
    if bytes.len() as u64 > MAX_FILE_BYTES {
        return Err(format!("is larger than {MAX_FILE_BYTES} bytes"));
    }

    Ok(bytes)
}
