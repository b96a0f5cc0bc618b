//! What hosts that are not heard are taken to admit.

use std::time::Duration;

use camphorwalk_core::hash::Map;
use camphorwalk_core::ids::HostId;
use camphorwalk_core::time::Instant;

use super::{Account, Contact, ReservedShare, SILENT_SHARE_KEPT, Told, ToldTenant, contact};

/// The part of an even share that a host has by its mere being there, when shares are estimated.
const FLOOR: f64 = 0.25;

/// The other hosts in one tick, by what is known of them.
pub(super) struct Others {
    now: Instant,
    /// The time since the last tick.
    passed: Duration,
    /// How many hosts there are, this one included.
    size: f64,
    heard: Vec<HostId>,
    silent: Vec<HostId>,
    /// How many never told anything to this process.
    unknown: f64,
}

impl Others {
    pub(super) fn new(
        now: Instant,
        passed: Duration,
        hosts: &[HostId],
        told: &Map<HostId, Told>,
    ) -> Self {
        let size = (hosts.len() + 1) as f64;
        let (heard, silent) = (Vec::new(), Vec::new());
        let mut others = Self { now, passed, size, heard, silent, unknown: 0.0 };

        for host in hosts {
            match contact(now, told.get(host)) {
                Contact::Unknown => others.unknown += 1.0,
                Contact::Heard => others.heard.push(*host),
                Contact::Silent => others.silent.push(*host),
                Contact::Gone => {}
            }
        }
        others
    }

    /// Takes out of a tenant's bucket what hosts that are not heard admit by their shares.
    pub(super) fn take_out_unheard(
        &self,
        tenant: &str,
        account: &mut Account,
        told: &mut Map<HostId, Told>,
    ) {
        account.others_demand = self.demand(tenant, account, told);
        account.mark(self.now);
        account.level_wanted = self.is_level_wanted(tenant, told);
        account.reserved = ReservedShare::default();
        account.unheard_share = 0.0;
        if self.silent.is_empty() && self.unknown <= 0.0 {
            return;
        }

        let newly_silent = self.fix_shares(tenant, account, told);
        let silent: f64 = self.silent.iter().map(|host| told[host].share(tenant)).sum();
        let own = silent + self.unknown * self.even_share(account);
        account.reserved = self.withheld(tenant, silent, told);
        account.unheard_share = own.max(account.reserved.share).min(self.most_withheld());

        // What goes to a silent host is noted, to be made good when it tells what it admitted.
        let scale = (account.unheard_share / own.max(f64::MIN_POSITIVE)).min(1.0);
        let unnoted = account.unheard_share - silent * scale;
        let mut taken = account.rate * unnoted * self.passed.as_secs_f64();
        for host in &self.silent {
            let Some(told) = told.get_mut(host) else { continue };
            let share = told.share(tenant) * scale;
            let estimated = match newly_silent.contains(host) {
                true => self.estimate_since_heard(account, told, share),
                false => account.rate * share * self.passed.as_secs_f64(),
            };
            told.tenants.entry(tenant.into()).or_default().estimated += estimated;
            taken += estimated;
        }
        account.level = (account.level - taken).max(-account.most());
    }

    /// Returns the most of a rate that is left to hosts that are not heard. Shares that were fixed
    /// at different moments may be more than all there is.
    fn most_withheld(&self) -> f64 {
        let heard = self.heard.len() as f64 + 1.0;

        1.0 - FLOOR * heard / self.size
    }

    /// Returns the calls a second that a host counts with by its mere being there.
    fn floor(&self, account: &Account) -> f64 {
        FLOOR * account.rate / self.size
    }

    /// Returns the share of a host that was never heard: it counts as one with the demand of this
    /// one, so that hosts that cannot hear each other share evenly.
    fn even_share(&self, account: &Account) -> f64 {
        let all = account.demand + account.others_demand + FLOOR * account.rate;

        (account.demand + self.floor(account)) / all
    }

    /// Returns the calls a second that come to the others.
    fn demand(&self, tenant: &str, account: &Account, told: &Map<HostId, Told>) -> f64 {
        let known = self.heard.iter().chain(&self.silent).filter_map(|host| told.get(host));
        let tenants = known.filter_map(|told| told.tenants.get(tenant));

        tenants.map(|t| t.news.demand).sum::<f64>() + self.unknown * account.demand
    }

    fn heard_of<'a>(
        &self,
        tenant: &str,
        told: &'a Map<HostId, Told>,
    ) -> impl Iterator<Item = &'a ToldTenant> {
        let heard = self.heard.iter().filter_map(|host| told.get(host));

        heard.filter_map(move |told| told.tenants.get(tenant))
    }

    /// Returns whether a host that is heard leaves a part to silent ones.
    fn is_level_wanted(&self, tenant: &str, told: &Map<HostId, Told>) -> bool {
        self.heard_of(tenant, told).any(|t| t.withheld_until > self.now)
    }

    /// Fixes the shares of hosts that have just fallen silent, and returns these hosts.
    fn fix_shares(
        &self,
        tenant: &str,
        account: &Account,
        told: &mut Map<HostId, Told>,
    ) -> Vec<HostId> {
        let mut newly_silent = Vec::new();

        for host in &self.silent {
            let Some(told) = told.get_mut(host) else { continue };
            let all = account.known_at(told.at).demand + FLOOR * account.rate;
            let tenant = told.tenants.entry(tenant.into()).or_default();
            if tenant.share.is_none() {
                tenant.share = Some((tenant.news.demand + self.floor(account)) / all);
                newly_silent.push(*host);
            }
        }
        newly_silent
    }

    /// Returns what is left to silent hosts, whose shares are `silent`. What is never heard may be
    /// known to others for how much is to be left to it.
    fn withheld(&self, tenant: &str, silent: f64, told: &Map<HostId, Told>) -> ReservedShare {
        let left = |told: &Told| (told.at + SILENT_SHARE_KEPT).since(self.now);
        let longest = self.silent.iter().map(|host| left(&told[host])).max();
        let own = ReservedShare { share: silent, expires_in: longest.unwrap_or_default() };
        if self.unknown <= 0.0 {
            return own;
        }

        let valid = self.heard_of(tenant, told).filter(|t| t.withheld_until > self.now);
        let theirs = valid.map(|t| ReservedShare {
            share: t.news.reserved.share,
            expires_in: t.withheld_until.since(self.now),
        });
        theirs.chain([own]).max_by(|a, b| a.share.total_cmp(&b.share)).unwrap_or(own)
    }

    /// Returns what a host admitted from when it was heard last, if it and all that are not heard
    /// used their shares as much as the hosts that are heard did. They had no more than the bucket
    /// held, which all knew.
    fn estimate_since_heard(&self, account: &Account, told: &Told, share: f64) -> f64 {
        let refilled = account.rate * self.now.since(told.counted_until).as_secs_f64();
        let here = account.spent - account.known_at(told.at).spent;
        let alike = here * share / (1.0 - account.unheard_share);
        let most = (account.most() + refilled) * share / account.unheard_share;

        alike.min(most).max(refilled * share)
    }
}
