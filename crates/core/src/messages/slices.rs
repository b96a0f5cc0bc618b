//! Messages for lending and returning slices of tenants' rates, and for taking tokens from them.
//!
//! Each tenant's rate is divided into numbered slices. A column consists of the slices with one
//! number of all tenants, and one host at a time owns it. The owner lends its slices to other
//! hosts. A loan is one lent slice, and its level is the amount left in it. Each tenant has an
//! admission host, which borrows the tenant's slices and takes a token from them for each call.
//!
//! Each change between a lender and a borrower takes a numbered request of the borrower and a
//! grant of the lender in reply. One request and one grant cover all tenants. Amounts are in
//! millionths of a token, and a call costs one token.

/// A message between two hosts about slices.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SliceMessage {
    /// The content.
    #[prost(oneof = "SliceBody", tags = "1, 2, 3, 4, 5")]
    pub body: Option<SliceBody>,
}

/// The content of a [`SliceMessage`].
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum SliceBody {
    /// The sender has slices to lend or to recall, so the receiver should send a request.
    #[prost(message, tag = "1")]
    Offer(LoanOffer),
    /// The sender requests new loans from the receiver and renews those that it has.
    #[prost(message, tag = "2")]
    Request(LoanRequest),
    /// The reply to a loan request.
    #[prost(message, tag = "3")]
    Grant(LoanGrant),
    /// Requests a token for a call from the tenant's admission host.
    #[prost(message, tag = "4")]
    Take(TakeRequest),
    /// The reply of the admission host.
    #[prost(message, tag = "5")]
    Answer(TakeAnswer),
}

impl SliceMessage {
    /// Returns the length of the encoded message in bytes, without the frame.
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

/// Asks a borrower to send a request, because the lender has loans to grant or recall.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LoanOffer {
    /// Columns that the lender took over from another owner whose loans may still be valid. In its
    /// request, the borrower should claim its loans of these columns.
    #[prost(uint32, repeated, tag = "1")]
    pub columns: Vec<u32>,
}

/// A borrower's request for new loans and for the renewal of current ones.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LoanRequest {
    /// The session of the borrower's process.
    #[prost(fixed64, tag = "1")]
    pub session: u64,
    /// The request's number; later requests have higher ones.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// The session of the lender that `acknowledged` and `returns` refer to.
    #[prost(fixed64, tag = "3")]
    pub lender: u64,
    /// The number of the last grant that the borrower applied; 0 for none.
    #[prost(uint64, tag = "4")]
    pub acknowledged: u64,
    /// Loans that the borrower no longer uses, repeated until a grant replies.
    #[prost(message, repeated, tag = "5")]
    pub returns: Vec<LoanReturn>,
    /// Valid loans from former owners that the receiver should adopt.
    #[prost(message, repeated, tag = "6")]
    pub claims: Vec<LoanClaim>,
}

/// A valid loan from a column's former owner.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct LoanClaim {
    /// The tenant.
    #[prost(fixed64, tag = "1")]
    pub tenant: u64,
    /// The column.
    #[prost(uint32, tag = "2")]
    pub column: u32,
    /// The host that granted the loan.
    #[prost(fixed64, tag = "3")]
    pub lender: u64,
    /// The loan's number at that host.
    #[prost(uint64, tag = "4")]
    pub loan: u64,
}

/// A loan that its borrower no longer uses.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct LoanReturn {
    /// The loan's number.
    #[prost(uint64, tag = "1")]
    pub loan: u64,
    /// The remaining amount, in millionths of a token.
    #[prost(uint64, tag = "2")]
    pub level: u64,
}

/// A lender's reply to a [`LoanRequest`].
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
    /// How long the loans of these columns are valid, in milliseconds after the request was sent.
    #[prost(uint32, tag = "6")]
    pub lifetime_ms: u32,
    /// New loans.
    #[prost(message, repeated, tag = "7")]
    pub loans: Vec<Loan>,
    /// The loans that the borrower has to return.
    #[prost(uint64, repeated, tag = "8")]
    pub recalls: Vec<u64>,
    /// Loans whose rate or burst has changed.
    #[prost(message, repeated, tag = "9")]
    pub changes: Vec<LoanChange>,
    /// Claimed loans that the lender has adopted.
    #[prost(message, repeated, tag = "10")]
    pub adoptions: Vec<LoanAdoption>,
    /// One loan number for each of `columns`. Loans with lower numbers date from an earlier
    /// ownership of the column by the sender and have ended. Empty if no such loan can be valid.
    #[prost(uint64, repeated, tag = "11")]
    pub since: Vec<u64>,
}

/// A claimed loan that the column's new owner has adopted, with its new number, rate and burst.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct LoanAdoption {
    /// The claim.
    #[prost(message, required, tag = "1")]
    pub claim: LoanClaim,
    /// The loan's new number.
    #[prost(uint64, tag = "2")]
    pub loan: u64,
    /// The refill rate, in millionths of a token per second.
    #[prost(uint64, tag = "3")]
    pub rate: u64,
    /// The capacity, in millionths of a token.
    #[prost(uint64, tag = "4")]
    pub burst: u64,
}

/// A slice that is lent, with its level.
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
    /// The level, in millionths of a token.
    #[prost(uint64, tag = "4")]
    pub level: u64,
    /// The refill rate, in millionths of a token per second.
    #[prost(uint64, tag = "5")]
    pub rate: u64,
    /// The capacity, in millionths of a token.
    #[prost(uint64, tag = "6")]
    pub burst: u64,
}

/// A loan whose rate or burst has changed.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct LoanChange {
    /// The loan's number.
    #[prost(uint64, tag = "1")]
    pub loan: u64,
    /// The refill rate, in millionths of a token per second.
    #[prost(uint64, tag = "2")]
    pub rate: u64,
    /// The capacity, in millionths of a token.
    #[prost(uint64, tag = "3")]
    pub burst: u64,
}

/// Requests one token of a tenant for a call.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct TakeRequest {
    /// The session of the requesting host.
    #[prost(fixed64, tag = "1")]
    pub session: u64,
    /// The request's number, which stays the same when the request is repeated.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// The tenant.
    #[prost(fixed64, tag = "3")]
    pub tenant: u64,
}

/// The reply to a [`TakeRequest`].
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct TakeAnswer {
    /// The session of the requesting host.
    #[prost(fixed64, tag = "1")]
    pub session: u64,
    /// The request's number.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Whether the token was taken.
    #[prost(bool, tag = "3")]
    pub admitted: bool,
    /// If not, after how many microseconds a token will be available.
    #[prost(uint64, tag = "4")]
    pub retry_after_us: u64,
}
