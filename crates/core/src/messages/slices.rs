//! Lending, returning and drawing on slices of a tenant's rate.
//!
//! Between a lender and a borrower, each change goes through a numbered request of the
//! borrower and the lender's grant that answers it. One request and one grant speak for all
//! tenants of the two hosts. Amounts are in millionths of a token (one token, one call).

/// A message between the parts of two hosts that keep slices.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SliceMessage {
    /// What it says.
    #[prost(oneof = "SliceBody", tags = "1, 2, 3, 4, 5")]
    pub body: Option<SliceBody>,
}

/// The content of a [`SliceMessage`].
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum SliceBody {
    /// The sender has slices to lend, or to ask back: send a request.
    #[prost(message, tag = "1")]
    Offer(LoanOffer),
    /// The sender asks for what the receiver lends it, and renews what it holds.
    #[prost(message, tag = "2")]
    Request(LoanRequest),
    /// The answer to a request.
    #[prost(message, tag = "3")]
    Grant(LoanGrant),
    /// A tenant's call wants a token from its admission host.
    #[prost(message, tag = "4")]
    Take(TakeRequest),
    /// The answer of the admission host.
    #[prost(message, tag = "5")]
    Answer(TakeAnswer),
}

impl SliceMessage {
    /// Returns the length of its encoding in bytes, without a frame.
    ///
    /// ```
    /// use camphorwalk_core::messages::slices::{LoanOffer, SliceBody, SliceMessage};
    /// assert_eq!(SliceMessage::from(SliceBody::Offer(LoanOffer::default())).encoded_bytes(), 2);
    /// ```
    pub fn encoded_bytes(&self) -> usize {
        prost::Message::encoded_len(self)
    }
}

impl From<SliceBody> for SliceMessage {
    fn from(body: SliceBody) -> Self {
        Self { body: Some(body) }
    }
}

/// A lender has something to say to a borrower, which should send a request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LoanOffer {
    /// Columns that came to the lender from another owner, whose loans may still run. The
    /// request should claim those that the borrower has.
    #[prost(uint32, repeated, tag = "1")]
    pub columns: Vec<u32>,
}

/// A borrower's request for loans, new and renewed.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LoanRequest {
    /// The session of the borrower's process.
    #[prost(fixed64, tag = "1")]
    pub session: u64,
    /// The request's number; later requests have higher ones.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// The session of the lender that `acknowledged` and `returns` are about.
    #[prost(fixed64, tag = "3")]
    pub lender: u64,
    /// The number of the last grant that was taken in; 0 for none.
    #[prost(uint64, tag = "4")]
    pub acknowledged: u64,
    /// Loans that the borrower uses no more, listed until a grant answers.
    #[prost(message, repeated, tag = "5")]
    pub returns: Vec<LoanReturn>,
    /// Running loans of former owners, to go on as the receiver's.
    #[prost(message, repeated, tag = "6")]
    pub claims: Vec<LoanClaim>,
}

/// A running loan of a column's former owner.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct LoanClaim {
    /// The tenant.
    #[prost(fixed64, tag = "1")]
    pub tenant: u64,
    /// The column.
    #[prost(uint32, tag = "2")]
    pub column: u32,
    /// The host that lent it.
    #[prost(fixed64, tag = "3")]
    pub lender: u64,
    /// Its number there.
    #[prost(uint64, tag = "4")]
    pub loan: u64,
}

/// A loan that its borrower uses no more.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct LoanReturn {
    /// The loan.
    #[prost(uint64, tag = "1")]
    pub loan: u64,
    /// What was left in it, in millionths of a token.
    #[prost(uint64, tag = "2")]
    pub level: u64,
}

/// A lender's answer to a [`LoanRequest`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct LoanGrant {
    /// The session of the borrower, from its request.
    #[prost(fixed64, tag = "1")]
    pub session: u64,
    /// The number of the request.
    #[prost(uint64, tag = "2")]
    pub request: u64,
    /// The session of the lender.
    #[prost(fixed64, tag = "3")]
    pub lender: u64,
    /// The grant's number; later grants of a lender have higher ones.
    #[prost(uint64, tag = "4")]
    pub number: u64,
    /// The columns whose loans to this borrower are renewed.
    #[prost(uint32, repeated, tag = "5")]
    pub columns: Vec<u32>,
    /// How long loans of these columns last, in milliseconds from the request's sending.
    #[prost(uint32, tag = "6")]
    pub lifetime_ms: u32,
    /// New loans.
    #[prost(message, repeated, tag = "7")]
    pub loans: Vec<Loan>,
    /// Loans that the borrower is to return.
    #[prost(uint64, repeated, tag = "8")]
    pub recalls: Vec<u64>,
    /// Loans whose rate or burst is another from now on.
    #[prost(message, repeated, tag = "9")]
    pub changes: Vec<LoanChange>,
    /// Claimed loans that go on as the lender's.
    #[prost(message, repeated, tag = "10")]
    pub adoptions: Vec<LoanAdoption>,
    /// One number for each of `columns`: the sender's loans below it are of a time when it
    /// owned the column before, and are over. Empty if no such loan can still run.
    #[prost(uint64, repeated, tag = "11")]
    pub since: Vec<u64>,
}

/// A claimed loan that goes on, level included, as the loan of a column's new owner.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct LoanAdoption {
    /// The claim.
    #[prost(message, required, tag = "1")]
    pub claim: LoanClaim,
    /// The loan's new number.
    #[prost(uint64, tag = "2")]
    pub loan: u64,
    /// Its refill, in millionths of a token a second.
    #[prost(uint64, tag = "3")]
    pub rate: u64,
    /// The most it holds, in millionths of a token.
    #[prost(uint64, tag = "4")]
    pub burst: u64,
}

/// A slice that is lent, level included.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Loan {
    /// The loan's number, unique in the lender's session.
    #[prost(uint64, tag = "1")]
    pub loan: u64,
    /// The tenant.
    #[prost(fixed64, tag = "2")]
    pub tenant: u64,
    /// The column.
    #[prost(uint32, tag = "3")]
    pub column: u32,
    /// What is in it, in millionths of a token.
    #[prost(uint64, tag = "4")]
    pub level: u64,
    /// Its refill, in millionths of a token a second.
    #[prost(uint64, tag = "5")]
    pub rate: u64,
    /// The most it holds, in millionths of a token.
    #[prost(uint64, tag = "6")]
    pub burst: u64,
}

/// A loan whose rate or burst is another from now on.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct LoanChange {
    /// The loan.
    #[prost(uint64, tag = "1")]
    pub loan: u64,
    /// Its refill, in millionths of a token a second.
    #[prost(uint64, tag = "2")]
    pub rate: u64,
    /// The most it holds, in millionths of a token.
    #[prost(uint64, tag = "3")]
    pub burst: u64,
}

/// A call wants a token of its tenant.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct TakeRequest {
    /// The session of the asking host's process.
    #[prost(fixed64, tag = "1")]
    pub session: u64,
    /// The number of the take request, the same when it is repeated.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// The tenant.
    #[prost(fixed64, tag = "3")]
    pub tenant: u64,
}

/// The answer to a [`TakeRequest`].
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct TakeAnswer {
    /// The session of the asking host's process.
    #[prost(fixed64, tag = "1")]
    pub session: u64,
    /// The number of the take request.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Whether the token is taken.
    #[prost(bool, tag = "3")]
    pub admitted: bool,
    /// When a token will be there, in microseconds, if it is not.
    #[prost(uint64, tag = "4")]
    pub retry_after_us: u64,
}
