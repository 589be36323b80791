//! Whether a session's credential still stands, for each request anew: sessions stay open while
//! credentials are taken away.

use std::time::Instant;

use kestrellock_core::catalog::UnknownCredential;
use kestrellock_core::credential_evidence::RETRY_DELAY;
use kestrellock_core::ids::AccountName;
use kestrellock_core::outcome::{Refusal, ResultCode};
use kestrellock_peer::message::TransactionState;
use kestrellock_protocol::caller::Severity;

use super::{Session, SessionEnd, UNDONE, counting, decisions};
use crate::event::Io;

impl Session {
    /// Lets a request through that arrived at `arrived`, or says why not. Whatever becomes of the request
    /// afterwards, nothing of it has to be asked again: what counts was settled when it was sent.
    pub(super) fn authorize(&mut self, arrived: Instant, io: &Io) -> Result<(), Refusal> {
        let account = match self.current_account(io) {
            Ok(account) => account,
            Err(UnknownCredential) => {
                self.credential_is_gone = true;
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

    /// The account that the session's credential stands for by the configuration in force.
    fn current_account(&mut self, io: &Io) -> Result<Option<AccountName>, UnknownCredential> {
        let catalog = io.context.catalog.load();
        let Some(login) = &self.login else { return Err(UnknownCredential) };
        if self.authorized == Some(catalog.revision) {
            return Ok(self.account.clone());
        }
        let account = catalog.account_of(&login.credential, &login.parameters.tenant)?;
        self.authorized = Some(catalog.revision);
        Ok(account.cloned())
    }

    /// Looks whether the credential stands after the configuration has changed.
    pub fn check_credential(&mut self, io: &Io) {
        let catalog = io.context.catalog.load();
        let Some(login) = &self.login else { return };
        // A tenant that is gone is told so by its next request.
        let is_known = catalog.tenants.contains_key(&login.parameters.tenant);
        let account = catalog.account_of(&login.credential, &login.parameters.tenant);
        self.credential_is_gone = is_known && account.is_err();
    }

    /// Whether the session ends, because its credential is gone.
    pub fn must_end(&self) -> bool {
        self.credential_is_gone && self.parting_since.is_none()
    }

    /// Ends a session whose credential is gone, once what a back end works on is answered: a request that
    /// waits and a transaction that rests get their last answer, and connections are free again.
    pub(super) fn end_without_credential(&mut self, io: &mut Io) -> SessionEnd {
        if self.request.as_ref().is_some_and(|request| request.sent) {
            return SessionEnd::Continue;
        }
        let detail = "the credential of the session stands for nobody any more";
        let refusal = Refusal::new(ResultCode::CredentialRevoked, detail);
        let request = self.request.take();
        let rests = self.transaction != TransactionState::Idle && !self.transaction_lost;
        if request.is_some() || rests {
            counting::refused(&refusal, io);
            let (login, account) = (self.login.as_ref(), self.account.as_ref());
            decisions::refused(request.as_ref(), login, account, None, &refusal, io);
            let output = &mut self.connection.output;
            self.protocol.put_refusal(&refusal, Severity::Session, output);
        }
        self.state.on_end(&[], UNDONE);
        self.abandon(io);
        self.parting_since = Some(io.now);
        self.part(io)
    }
}
