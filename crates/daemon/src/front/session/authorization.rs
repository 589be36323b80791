//! Checks the session's credential for each request, because a credential may be revoked while
//! sessions that logged in with it stay open.
//!
//! A request runs only if the active configuration still contains the credential and, for sessions
//! of an account, this node has recent evidence that its configuration is current. Otherwise a node
//! that is cut off from configuration updates would accept a revoked credential indefinitely.

use std::time::Instant;

use kestrellock_core::catalog::UnknownCredential;
use kestrellock_core::credential_evidence::RETRY_DELAY;
use kestrellock_core::ids::AccountName;
use kestrellock_core::outcome::{Refusal, ResultCode};
use kestrellock_peer::message::TransactionState;

use super::{ROLLED_BACK, Session, SessionFlow};
use crate::event::Io;

impl Session {
    /// Checks whether a request that arrived at `arrived` may run, or returns the reason for its
    /// refusal. The check is not repeated when the request is retried or continues: the credential
    /// counts as of the time when the client sent it.
    pub(super) fn authorize(&mut self, arrived: Instant, io: &Io) -> Result<(), Refusal> {
        let account = match self.current_account(io) {
            Ok(account) => account,
            Err(UnknownCredential) => {
                self.credential_revoked = true;
                let detail = "the credential of the session stands for nobody any more";
                return Err(Refusal::new(ResultCode::CredentialRevoked, detail));
            }
        };
        if self.transaction != TransactionState::Idle && account != self.account {
            let detail = "the credential of the session stands for another account now";
            return Err(Refusal::new(ResultCode::TransactionLost, detail));
        }
        self.account = account;
        match self.account.is_none() || io.context.is_credential_confirmed(arrived) {
            true => Ok(()),
            false => {
                let detail = "the node has not heard for too long that the credential stands";
                let refusal = Refusal::new(ResultCode::CredentialUnconfirmed, detail);
                Err(refusal.retry_after(RETRY_DELAY))
            }
        }
    }

    /// The account of the session's credential in the active configuration.
    fn current_account(&mut self, io: &Io) -> Result<Option<AccountName>, UnknownCredential> {
        let catalog = io.context.catalog.load();
        let Some(login) = &self.login else { return Err(UnknownCredential) };
        if self.authorized_revision == Some(catalog.revision) {
            return Ok(self.account.clone());
        }
        let account = catalog.account_of(&login.credential, &login.parameters.tenant)?;
        self.authorized_revision = Some(catalog.revision);
        Ok(account.cloned())
    }

    /// Checks the credential after a configuration change.
    pub fn check_credential(&mut self, io: &Io) {
        let catalog = io.context.catalog.load();
        let Some(login) = &self.login else { return };
        // If the tenant is gone, the next request is refused for that reason.
        let is_known = catalog.tenants.contains_key(&login.parameters.tenant);
        let account = catalog.account_of(&login.credential, &login.parameters.tenant);
        self.credential_revoked = is_known && account.is_err();
    }

    /// Whether the session must end because its credential was revoked.
    pub fn must_end(&self) -> bool {
        self.credential_revoked && !self.is_closing()
    }

    /// Ends a session whose credential was revoked, after the answer to an exchange that has been
    /// sent. A request that still waits and an idle transaction are refused, and the server
    /// connection becomes available.
    pub(super) fn end_revoked_session(&mut self, io: &mut Io) -> SessionFlow {
        if self.request.as_ref().is_some_and(|request| request.sent) {
            return SessionFlow::Continue;
        }
        let detail = "the credential of the session stands for nobody any more";
        let refusal = Refusal::new(ResultCode::CredentialRevoked, detail);
        let request = self.request.take();
        self.state.on_exchange_end(&[], ROLLED_BACK);
        self.start_closing(refusal, request, io)
    }
}
