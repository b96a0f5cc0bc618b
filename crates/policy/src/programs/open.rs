//! Opening a program.
//!
//! A sub-agent lives in its parent's partition: the entry host chooses its id there. Then
//! one home and one journal hold the whole family, and its budget is one account. A child
//! elsewhere is refused. (Each child having a reservation of its own was weighed: it needs
//! a size that nobody knows beforehand, and an idle child would hold tokens back.)

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
use super::{Cx, Programs, answers};

/// What a program's parent hands down.
struct Lineage {
    /// The family's topmost program.
    root: ProgramId,
    /// How many programs are above.
    depth: u8,
    /// The family's account.
    account: Option<AccountKey>,
    /// The latest deadline.
    deadline: Option<Instant>,
}

impl Programs {
    /// Opens a program. Its opening is durable before it is answered.
    pub(super) fn open(
        &mut self,
        cx: &mut Cx<'_>,
        ticket: RequestOrigin,
        tenant: TenantId,
        open: OpenRequest,
    ) {
        if let Some(known) = self.index.get(&open.program) {
            return self.reopen(cx, ticket, tenant, &open, *known);
        }

        match self.prepare(cx, tenant, &open) {
            Ok(entry) => self.start_opening(cx, ticket, entry),
            Err(refusal) => self.refuse(cx, ticket, refusal),
        }
    }

    /// Answers the opening of a program that is there already.
    fn reopen(
        &mut self,
        cx: &mut Cx<'_>,
        ticket: RequestOrigin,
        tenant: TenantId,
        open: &OpenRequest,
        known: ProgramKey,
    ) {
        let program = &mut self.programs[known];
        let repeat = program.repeatable && open.repeatable && program.body == body_digest(open);

        if program.tenant != tenant || !repeat {
            return self.refuse(cx, ticket, answers::key_reused());
        }

        if program.state != ProgramState::Opening {
            let reply = self.opened(cx, known);
            return self.answer(cx, ticket, reply);
        }

        program.opening.push(ticket);

        if self.journal.in_doubt() {
            self.opening_in_doubt(cx, known);
        }
    }

    /// Checks an opening against the configuration.
    fn prepare(
        &self,
        cx: &Cx<'_>,
        tenant: TenantId,
        open: &OpenRequest,
    ) -> Result<OpenedEntry, Refusal> {
        let cfg = self.cfg.as_ref().ok_or_else(answers::leaving)?;
        let template = cfg.template(&open.template).filter(|template| !template.withdrawn);
        let assistant = cfg.assistant(tenant, &open.template);

        let (Some(template), Some(assistant)) = (template, assistant) else {
            return Err(answers::bad_request("no such template for this tenant"));
        };

        if open.deadline.is_zero() || open.deadline > template.max_deadline {
            return Err(answers::bad_request("the deadline is not within the template's limit"));
        }

        let lineage = self.lineage(tenant, open)?;

        if self.journal.is_away(cx.now) {
            return Err(answers::platform_away(self.journal.retry_after()));
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
            body: body_digest(open),
            repeatable: open.repeatable,
            budget: account.budget,
            granted: account.grant_for(need),
            left,
        })
    }

    /// Returns what the parent, if there is one, hands down.
    fn lineage(&self, tenant: TenantId, open: &OpenRequest) -> Result<Lineage, Refusal> {
        let Some(id) = open.parent else {
            return Ok(Lineage { root: open.program, depth: 0, account: None, deadline: None });
        };
        let cfg = self.cfg.as_ref().ok_or_else(answers::leaving)?;

        if cfg.partition(id) != cfg.partition(open.program) {
            return Err(answers::bad_request("a sub-agent must be in its parent's partition"));
        }

        let key = self.visible(tenant, id).ok_or_else(answers::not_found)?;
        let parent = &self.programs[key];

        if parent.state != ProgramState::Open {
            return Err(answers::not_found());
        }

        // The family's topmost template bounds its depth, so that no mix of templates goes
        // deeper than the operator allowed.
        let depth = parent.depth.saturating_add(1);
        let root = self.index.get(&parent.root).map_or(parent, |key| &self.programs[*key]);
        let max_depth = cfg.template(&root.template).map_or(0, |t| t.max_depth);

        if depth > max_depth {
            return Err(answers::bad_request("the template allows no deeper sub-agent"));
        }

        // Openings count as calls of the parent: a loop of openings ends, too.
        let max_calls = cfg.template(&parent.template).map_or(0, |t| t.max_calls);

        if parent.head() + parent.openings >= max_calls {
            return Err(answers::exhausted());
        }

        Ok(Lineage {
            root: parent.root,
            depth,
            account: Some(parent.account),
            deadline: Some(parent.deadline),
        })
    }

    /// Journals an opening.
    fn start_opening(&mut self, cx: &mut Cx<'_>, ticket: RequestOrigin, entry: OpenedEntry) {
        let key = self.insert_program(cx, &entry);
        let program = &mut self.programs[key];
        program.state = ProgramState::Opening;
        program.opening.push(ticket);

        self.append(key, Entry::Opened(entry), Waiter::Open(key));
    }

    /// Adds a program, as opened or as read from the journal.
    pub(super) fn insert_program(&mut self, cx: &mut Cx<'_>, entry: &OpenedEntry) -> ProgramKey {
        // A journal may hold a former program with the same id, ended and forgotten since.
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
            body: entry.body,
            repeatable: entry.repeatable,
            deadline,
            state: ProgramState::Open,
            calls: Vec::new(),
            stored: 0,
            history: Tokens::default(),
            // A sub-agent goes on with work that is under way: counted from zero, the queue
            // would hold it back as a new program.
            attained: Tokens(u64::from(entry.parent.is_some())),
            running: None,
            children: Vec::new(),
            openings: 0,
            upto: 0,
            in_doubt: false,
            open_intent: None,
            orphan: false,
            opening: Vec::new(),
            ending: Vec::new(),
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
    pub(super) fn opened(&self, cx: &Cx<'_>, key: ProgramKey) -> Reply {
        let program = &self.programs[key];

        Reply::Opened(Opened {
            program: program.id,
            budget_tokens: self.accounts[program.account].left(),
            deadline: program.left(cx.now),
        })
    }

    /// An opening is durable.
    pub(super) fn opening_durable(&mut self, cx: &mut Cx<'_>, key: ProgramKey, granted: Tokens) {
        let Some(program) = self.programs.get_mut(key) else { return };

        if program.state == ProgramState::Opening {
            program.state = ProgramState::Open;
        }

        let (account, deadline) = (program.account, program.deadline);
        let tickets = std::mem::take(&mut program.opening);

        // The deadline may have passed while the opening was in doubt.
        self.timers.set(deadline, Timer::Program(key));

        if let Some(account) = self.accounts.get_mut(account) {
            account.granted(granted);
        }

        for ticket in tickets {
            let reply = self.opened(cx, key);
            self.answer(cx, ticket, reply);
        }
    }

    /// The platform certainly did not take an opening.
    pub(super) fn opening_refused(&mut self, cx: &mut Cx<'_>, key: ProgramKey) {
        let Some(program) = self.programs.get_mut(key) else { return };
        let tickets = std::mem::take(&mut program.opening);
        let refusal = answers::platform_away(self.journal.retry_after());

        for ticket in tickets {
            self.refuse(cx, ticket, refusal.clone());
        }

        self.remove_program(key);
    }

    /// Nobody knows whether the platform took an opening; those who wait are told so.
    pub(super) fn opening_in_doubt(&mut self, cx: &mut Cx<'_>, key: ProgramKey) {
        let Some(program) = self.programs.get_mut(key) else { return };
        let tickets = std::mem::take(&mut program.opening);
        let after = self.journal.retry_after();

        // Not "not run": the program may be there, and a repeat finds it.
        let mut refusal = answers::platform_away(after).ran(Executed::Maybe);
        refusal.code = Code::OutcomeUnknown;

        for ticket in tickets {
            self.refuse(cx, ticket, refusal.clone());
        }
    }
}

/// Returns the digest of what an opening asks.
fn body_digest(open: &OpenRequest) -> Digest {
    let parent = open.parent.map_or(0, |id| id.0);
    let deadline = open.deadline.as_millis();

    digest(&[open.template.as_bytes(), &deadline.to_be_bytes(), &parent.to_be_bytes()])
}
