//! Opening of programs.
//!
//! A sub-agent is always in its parent's partition. The entry host, to which the caller is
//! connected, chooses the sub-agent's id accordingly, and the home host refuses a child in another
//! partition. So a whole family has one home host, one journal and one budget account. The children
//! have no reservations of their own: the size of a reservation would not be known in advance, and
//! an idle child would hold back tokens that others need.

use camphorwalk_core::calls::{Code, Executed, OpenRequest, Opened, Refusal, Reply};
use camphorwalk_core::hash::{Digest, digest};
use camphorwalk_core::ids::{ClassId, ProgramId, RequestOrigin, TenantId};
use camphorwalk_core::time::Instant;
use camphorwalk_core::units::Tokens;

use super::budget::{Account, AccountKey};
use super::entries::{Entry, OpenedEntry};
use super::journal::Waiter;
use super::state::{Program, ProgramKey, ProgramState};
use super::timers::Timer;
use super::{Programs, StepContext, refusals};

/// What a new program inherits from its parent.
struct Lineage {
    /// The root of the family.
    root: ProgramId,
    /// The number of ancestors.
    depth: u8,
    /// The family's budget account; `None` for a root.
    account: Option<AccountKey>,
    /// The parent's deadline, which the child must not exceed.
    deadline: Option<Instant>,
}

impl Programs {
    /// Opens a program. The opening is durable before it is answered.
    pub(super) fn open(
        &mut self,
        cx: &mut StepContext<'_>,
        origin: RequestOrigin,
        tenant: TenantId,
        open: OpenRequest,
    ) {
        if let Some(known) = self.index.get(&open.program) {
            return self.reopen(cx, origin, tenant, &open, *known);
        }

        match self.prepare(cx, tenant, &open) {
            Ok(entry) => self.start_opening(cx, origin, entry),
            Err(refusal) => self.refuse(cx, origin, refusal),
        }
    }

    /// Handles a request to open a program that already exists: answers a repeat of its opening
    /// once the opening is durable, and refuses any other request.
    fn reopen(
        &mut self,
        cx: &mut StepContext<'_>,
        origin: RequestOrigin,
        tenant: TenantId,
        open: &OpenRequest,
        known: ProgramKey,
    ) {
        let program = &mut self.programs[known];
        let repeat = program.repeatable
            && open.repeatable
            && program.parameters_digest == parameters_digest(open);

        if program.tenant != tenant || !repeat {
            return self.refuse(cx, origin, refusals::key_reused());
        }

        if program.state != ProgramState::Opening {
            let reply = self.opened_reply(cx, known);
            return self.answer(cx, origin, reply);
        }

        program.opening_origins.push(origin);

        if self.journal.in_doubt() {
            self.opening_in_doubt(cx, known);
        }
    }

    /// Validates an opening against the configuration and the parent.
    fn prepare(
        &self,
        cx: &StepContext<'_>,
        tenant: TenantId,
        open: &OpenRequest,
    ) -> Result<OpenedEntry, Refusal> {
        let cfg = self.cfg.as_ref().ok_or_else(refusals::home_moving)?;
        let template = cfg.template(&open.template).filter(|template| !template.withdrawn);
        let assistant = cfg.assistant(tenant, &open.template);

        let (Some(template), Some(assistant)) = (template, assistant) else {
            return Err(refusals::bad_request("no such template for this tenant"));
        };

        if open.deadline.is_zero() || open.deadline > template.max_deadline {
            return Err(refusals::bad_request("the deadline is not within the template's limit"));
        }

        let lineage = self.lineage(tenant, open)?;

        if self.journal.is_unavailable(cx.now) {
            return Err(refusals::platform_unavailable(self.journal.retry_after()));
        }

        let left = match lineage.deadline {
            Some(deadline) => open.deadline.min(deadline - cx.now),
            None => open.deadline,
        };
        let budget = cfg.tenant(tenant).map(|t| t.budget_tokens).unwrap_or_default();
        let account = match lineage.account {
            Some(key) => self.accounts[key],
            None => Account { budget, ..Account::default() },
        };
        let need = Tokens(u64::from(template.max_output_tokens) * 2);

        Ok(OpenedEntry {
            program: open.program,
            tenant: tenant.0,
            template: open.template.clone(),
            class: ClassId::from_name(&assistant.class).0,
            parent: open.parent,
            root: lineage.root,
            depth: lineage.depth,
            body: parameters_digest(open),
            repeatable: open.repeatable,
            budget: account.budget,
            granted: account.grant_for(need),
            left,
        })
    }

    /// Returns what the program inherits from its parent, if it has one.
    fn lineage(&self, tenant: TenantId, open: &OpenRequest) -> Result<Lineage, Refusal> {
        let Some(id) = open.parent else {
            return Ok(Lineage { root: open.program, depth: 0, account: None, deadline: None });
        };
        let cfg = self.cfg.as_ref().ok_or_else(refusals::home_moving)?;

        if cfg.partition(id) != cfg.partition(open.program) {
            return Err(refusals::bad_request("a sub-agent must be in its parent's partition"));
        }

        let key = self.tenant_program(tenant, id).ok_or_else(refusals::not_found)?;
        let parent = &self.programs[key];

        if parent.state != ProgramState::Open {
            return Err(refusals::not_found());
        }

        // The root's template limits the depth of the family, so that no combination of
        // templates goes deeper than the operator allowed.
        let depth = parent.depth.saturating_add(1);
        let root = self.index.get(&parent.root).map_or(parent, |key| &self.programs[*key]);
        let max_depth = cfg.template(&root.template).map_or(0, |t| t.max_depth);

        if depth > max_depth {
            return Err(refusals::bad_request("the template allows no deeper sub-agent"));
        }

        // Openings count as calls of the parent, so an endless loop of openings reaches the
        // call limit.
        let max_calls = cfg.template(&parent.template).map_or(0, |t| t.max_calls);

        if parent.head() + parent.openings >= max_calls {
            return Err(refusals::budget_exhausted());
        }

        Ok(Lineage {
            root: parent.root,
            depth,
            account: Some(parent.account),
            deadline: Some(parent.deadline),
        })
    }

    /// Adds the program in state `Opening` and journals the opening.
    fn start_opening(
        &mut self,
        cx: &mut StepContext<'_>,
        origin: RequestOrigin,
        entry: OpenedEntry,
    ) {
        let key = self.insert_program(cx, &entry);
        let program = &mut self.programs[key];
        program.state = ProgramState::Opening;
        program.opening_origins.push(origin);

        self.append(key, Entry::Opened(entry), Waiter::Open(key));
    }

    /// Adds a program that is being opened or was read from the journal.
    pub(super) fn insert_program(
        &mut self,
        cx: &mut StepContext<'_>,
        entry: &OpenedEntry,
    ) -> ProgramKey {
        // The journal may hold an earlier program with the same id that has ended and was
        // removed.
        if let Some(former) = self.index.get(&entry.program) {
            self.remove_program(*former);
        }

        let partition = self.partition_of(entry.program);
        let root = self.index.get(&entry.root).map(|key| self.programs[*key].account);
        let account = root.unwrap_or_else(|| {
            self.accounts.insert(Account { budget: entry.budget, ..Account::default() })
        });
        let deadline = cx.now + entry.left;

        let key = self.programs.insert(Program {
            id: entry.program,
            tenant: TenantId(entry.tenant),
            template: entry.template.clone(),
            class: ClassId(entry.class),
            partition,
            parent: entry.parent,
            root: entry.root,
            depth: entry.depth,
            account,
            parameters_digest: entry.body,
            repeatable: entry.repeatable,
            deadline,
            state: ProgramState::Open,
            calls: Vec::new(),
            stored: 0,
            history: Tokens::default(),
            // A sub-agent continues work that is in progress. With no attained service the
            // queue would hold it back like a new program, so it starts with one token.
            attained: Tokens(u64::from(entry.parent.is_some())),
            running: None,
            children: Vec::new(),
            openings: 0,
            image_row: 0,
            in_doubt: false,
            open_intent: None,
            orphan: false,
            opening_origins: Vec::new(),
            ending_origins: Vec::new(),
            end_stored: false,
            forget_at: None,
        });

        self.index.insert(entry.program, key);
        self.timers.set(deadline, Timer::Program(key));

        if let Some(parent) = entry.parent.and_then(|id| self.index.get(&id).copied()) {
            let parent = &mut self.programs[parent];
            parent.children.push(entry.program);
            parent.openings += 1;
        }

        key
    }

    /// Returns the answer to an opening.
    pub(super) fn opened_reply(&self, cx: &StepContext<'_>, key: ProgramKey) -> Reply {
        let program = &self.programs[key];

        Reply::Opened(Opened {
            program: program.id,
            budget_tokens: self.accounts[program.account].available(),
            deadline: program.time_left(cx.now),
        })
    }

    /// Handles an opening that became durable.
    pub(super) fn opening_durable(
        &mut self,
        cx: &mut StepContext<'_>,
        key: ProgramKey,
        granted: Tokens,
    ) {
        let Some(program) = self.programs.get_mut(key) else { return };

        if program.state == ProgramState::Opening {
            program.state = ProgramState::Open;
        }

        let (account, deadline) = (program.account, program.deadline);
        let origins = std::mem::take(&mut program.opening_origins);

        // The timer may have fired while the opening was in doubt, so it is set again.
        self.timers.set(deadline, Timer::Program(key));

        if let Some(account) = self.accounts.get_mut(account) {
            account.raise_grant(granted);
        }

        for origin in origins {
            let reply = self.opened_reply(cx, key);
            self.answer(cx, origin, reply);
        }
    }

    /// Handles an opening that the platform rejected and certainly did not store.
    pub(super) fn opening_rejected(&mut self, cx: &mut StepContext<'_>, key: ProgramKey) {
        let Some(program) = self.programs.get_mut(key) else { return };
        let origins = std::mem::take(&mut program.opening_origins);
        let refusal = refusals::platform_unavailable(self.journal.retry_after());

        for origin in origins {
            self.refuse(cx, origin, refusal.clone());
        }

        self.remove_program(key);
    }

    /// Handles an opening whose outcome is unknown; the waiting callers are refused.
    pub(super) fn opening_in_doubt(&mut self, cx: &mut StepContext<'_>, key: ProgramKey) {
        let Some(program) = self.programs.get_mut(key) else { return };
        let origins = std::mem::take(&mut program.opening_origins);
        let after = self.journal.retry_after();

        // The refusal must not say "not run": the program may exist, and a repeat finds it.
        let mut refusal = refusals::platform_unavailable(after).ran(Executed::Maybe);
        refusal.code = Code::OutcomeUnknown;

        for origin in origins {
            self.refuse(cx, origin, refusal.clone());
        }
    }
}

/// Returns the digest of an opening's parameters, to recognize a repeat.
fn parameters_digest(open: &OpenRequest) -> Digest {
    let parent = open.parent.map_or(0, |id| id.0);
    let deadline = open.deadline.as_millis();

    digest(&[open.template.as_bytes(), &deadline.to_be_bytes(), &parent.to_be_bytes()])
}
