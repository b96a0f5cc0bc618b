//! The configuration in force, indexed by tenant and template.

use std::sync::Arc;

use camphorwalk_core::config::{Assistant, Config, Template, Tenant};
use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::{PartitionId, ProgramId, TenantId};

/// A configuration with an index of its tenants and templates.
#[derive(Debug)]
pub(super) struct ConfigIndex {
    /// The indexed configuration.
    cfg: Arc<Config>,
    /// The position of each tenant in the configuration.
    tenants: Map<TenantId, usize>,
    /// The position of each template in the configuration.
    templates: Map<Box<str>, usize>,
}

impl ConfigIndex {
    /// Builds the index of a configuration.
    pub fn new(cfg: Arc<Config>) -> Self {
        let tenant_ids = cfg.tenants.iter().map(|t| TenantId::from_name(&t.name));
        let tenants = tenant_ids.zip(0..).collect();
        let templates = cfg.templates.iter().map(|t| t.name.clone()).zip(0..).collect();

        Self { cfg, tenants, templates }
    }

    /// Returns the partition that a program's id falls into.
    pub fn partition(&self, program: ProgramId) -> PartitionId {
        program.partition(self.cfg.fleet.partitions)
    }

    /// Returns the template with this name.
    pub fn template(&self, name: &str) -> Option<&Template> {
        self.templates.get(name).map(|index| &self.cfg.templates[*index])
    }

    /// Returns the tenant with this id.
    pub fn tenant(&self, tenant: TenantId) -> Option<&Tenant> {
        self.tenants.get(&tenant).map(|index| &self.cfg.tenants[*index])
    }

    /// Returns the tenant's assistant that uses this template.
    pub fn assistant(&self, tenant: TenantId, template: &str) -> Option<&Assistant> {
        self.tenant(tenant)?.assistants.iter().find(|a| &*a.template == template)
    }
}
