//! The configuration in force, with the names that calls look up.

use std::sync::Arc;

use camphorwalk_core::config::{Assistant, Config, Template, Tenant};
use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::{PartitionId, ProgramId, TenantId};

/// A configuration with its tenants and templates by name.
#[derive(Debug)]
pub(super) struct Lookup {
    /// The configuration.
    cfg: Arc<Config>,
    /// Where each tenant stands in it.
    tenants: Map<TenantId, usize>,
    /// Where each template stands in it.
    templates: Map<Box<str>, usize>,
}

impl Lookup {
    /// Looks through a configuration once.
    pub fn new(cfg: Arc<Config>) -> Self {
        let tenant_ids = cfg.tenants.iter().map(|t| TenantId::from_name(&t.name));
        let tenants = tenant_ids.zip(0..).collect();
        let templates = cfg.templates.iter().map(|t| t.name.clone()).zip(0..).collect();

        Self { cfg, tenants, templates }
    }

    /// Returns the partition of a program.
    pub fn partition(&self, program: ProgramId) -> PartitionId {
        program.partition(self.cfg.fleet.partitions)
    }

    /// Returns a template.
    pub fn template(&self, name: &str) -> Option<&Template> {
        self.templates.get(name).map(|index| &self.cfg.templates[*index])
    }

    /// Returns a tenant.
    pub fn tenant(&self, tenant: TenantId) -> Option<&Tenant> {
        self.tenants.get(&tenant).map(|index| &self.cfg.tenants[*index])
    }

    /// Returns what a tenant may open by this template.
    pub fn assistant(&self, tenant: TenantId, template: &str) -> Option<&Assistant> {
        self.tenant(tenant)?.assistants.iter().find(|a| &*a.template == template)
    }
}
