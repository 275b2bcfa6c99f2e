//! HTTP from a client to a typed RPC, once.
use crate::config::active::{ActiveNames, NameTable, bad, check};
use crate::downstream::head::Framings;
use crate::downstream::response::ProxyResponse;
use crate::net::body::{BODY_LIMIT, BUFFERED_BODY_LIMIT, RequestBody, RequestUpload};
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HeaderName, HeaderValue, TRANSFER_ENCODING};
use hyper::{HeaderMap, Method, Request, StatusCode, Uri};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

const KEPT_TIME: Duration = Duration::from_secs(10); // for what is kept of a body: at 64 kB/s it takes one ...
const PIECE_TIME: Duration = Duration::from_secs(5); // ... and so long without a byte of it
const ID_MOST: usize = 128; // bytes of an RPC's id: no honest one comes near

const RPC_ID: HeaderName = HeaderName::from_static("request-id");
const TIME_OUT: HeaderName = HeaderName::from_static("request-timeout-ms");
const REPEAT_KEY: HeaderName = HeaderName::from_static("idempotency-key");
const TENANT: HeaderName = HeaderName::from_static("tenant");
const CLIENT_REPEAT: HeaderName = HeaderName::from_static("client-retry");
const FIGURES: HeaderName = HeaderName::from_static("request-info");

/// An RPC as a client sent it.
pub(crate) struct ReceivedRpc {
    /// Of the settings by which it was read.
    pub version: u64,
    pub method: usize,
    pub tenant: Option<usize>,
    tenant_name: Option<HeaderValue>,
    /// When its last byte was seen, and how long the client waits from then on.
    pub received_at: Instant,
    pub timeout: Duration,
    pub is_client_retry: bool,
    pub expected_work: Option<f64>,
    pub key: Option<u64>,
    pub request: ParsedRequest,
}

impl ReceivedRpc {
    /// Reads it again where other settings came into force on its way; what they don't take is told so.
    pub(crate) fn apply_names(&mut self, names: &NameTable) -> Result<(), ProxyResponse> {
        if self.version != names.version {
            let (method, effect) = names.method(self.request.uri.path())?;
            check(effect, &self.request.verb, self.request.key.is_some())?;
            let tenant = self
                .tenant_name
                .as_ref()
                .and_then(|name| name.to_str().ok());
            (self.version, self.method, self.tenant) =
                (names.version, method, names.tenant(tenant));
        }
        Ok(())
    }
}

/// What goes on to backends unchanged.
#[derive(Clone)]
pub(crate) struct ParsedRequest {
    verb: Method,
    uri: Uri,
    id: Option<HeaderValue>, // none on a probe
    key: Option<HeaderValue>,
    body: Payload,
}

/// A request's body.
#[derive(Clone)]
enum Payload {
    Whole(Bytes),
    Long(Rc<RequestUpload>),
}

impl ParsedRequest {
    /// Asks a backend for its load report.
    pub(crate) fn health_check() -> Self {
        let uri = Uri::from_static("/stats");
        Self {
            verb: Method::GET,
            uri,
            id: None,
            key: None,
            body: Payload::Whole(Bytes::new()),
        }
    }

    pub(crate) fn id(&self) -> HeaderValue {
        self.id.clone().expect("only a probe has no id")
    }

    pub(crate) fn is_health_check(&self) -> bool {
        self.id.is_none()
    }

    /// What is too long to be kept.
    pub(crate) fn upload(&self) -> Option<&Rc<RequestUpload>> {
        match &self.body {
            Payload::Whole(_) => None,
            Payload::Long(upload) => Some(upload),
        }
    }

    /// A backend may have had its last byte, once one of it is on its way.
    pub(crate) fn may_be_complete(&self) -> bool {
        self.upload().is_none_or(|upload| upload.is_complete())
    }

    /// The message to a backend that is waited for this long.
    pub(crate) fn encode(&self, waits: Duration) -> Request<RequestBody> {
        let mut message = Request::new(match &self.body {
            Payload::Whole(bytes) => RequestBody::Buffered(Full::new(bytes.clone())),
            Payload::Long(upload) => RequestBody::streamed(upload),
        });
        *message.method_mut() = self.verb.clone();
        *message.uri_mut() = self.uri.clone();
        let headers = message.headers_mut();
        if let Some(id) = &self.id {
            headers.insert(RPC_ID, id.clone());
            headers.insert(TIME_OUT, HeaderValue::from(waits.as_millis().max(1) as u64));
        }
        if let Some(key) = &self.key {
            headers.insert(REPEAT_KEY, key.clone());
        }
        // Of a longer one the length that is known, or chunks.
        if let Payload::Whole(bytes) = &self.body
            && self.verb != Method::GET
        {
            headers.insert(CONTENT_LENGTH, HeaderValue::from(bytes.len()));
        }
        message
    }
}

/// Reads by the names in force.
pub(crate) struct RequestParser {
    names: ActiveNames,
}

/// The one value of a header; an error if it is there more than once.
fn one<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
) -> Result<Option<&'a HeaderValue>, ProxyResponse> {
    let mut all = headers.get_all(name).iter();
    let first = all.next();
    if all.next().is_some() {
        Err(bad("a header is there twice\n"))
    } else {
        Ok(first)
    }
}

/// As much of a body as is kept, and the rest of a longer one to come.
async fn payload(mut body: Incoming) -> Result<Payload, ProxyResponse> {
    let mut kept =
        BytesMut::with_capacity(body.size_hint().lower().min(BUFFERED_BODY_LIMIT as u64) as usize);
    let until = Instant::now() + KEPT_TIME;
    while !body.is_end_stream() {
        match timeout_at(until.min(Instant::now() + PIECE_TIME), body.frame()).await {
            Err(_) => {
                return Err(ProxyResponse::ClientError {
                    status: StatusCode::REQUEST_TIMEOUT,
                    message: "the body did not end\n",
                });
            }
            Ok(None) => break,
            Ok(Some(Err(_))) => return Err(bad("the body is malformed\n")),
            Ok(Some(Ok(frame))) => kept.extend_from_slice(&frame.into_data().unwrap_or_default()),
        }
        if kept.len() > BUFFERED_BODY_LIMIT && !body.is_end_stream() {
            return Ok(Payload::Long(RequestUpload::new(kept.freeze(), body)));
        }
    }
    Ok(Payload::Whole(kept.freeze()))
}

impl RequestParser {
    pub(crate) fn new(names: ActiveNames) -> Self {
        Self { names }
    }

    /// The RPC in a client's message, or what it is told instead.
    #[expect(clippy::too_many_lines)]
    pub(crate) async fn read(
        &self,
        from: Request<Incoming>,
        framings: Framings,
    ) -> Result<ReceivedRpc, ProxyResponse> {
        let (head, body) = from.into_parts();
        // hyper drops a Content-Length beside a Transfer-Encoding and goes by the other. Guards against RPCs
        // hidden in the body of what others take for one message.
        let coding = one(&head.headers, &TRANSFER_ENCODING)?;
        if !framings.is_clear()
            || coding.is_some_and(|coding| !coding.as_bytes().eq_ignore_ascii_case(b"chunked"))
        {
            return Err(bad(
                "its length is told twice, or in a way that is not taken\n",
            ));
        }
        let (version, (method, effect)) = {
            let names = self.names.borrow();
            (names.version, names.method(head.uri.path())?)
        };
        let id = one(&head.headers, &RPC_ID)?;
        let fits = |id: &HeaderValue| {
            (1..=ID_MOST).contains(&id.len()) && id.as_bytes().iter().all(u8::is_ascii_graphic)
        };
        let id = id
            .filter(|id| fits(id))
            .ok_or(bad("Request-Id is missing or malformed\n"))?;
        let waits = one(&head.headers, &TIME_OUT)?.and_then(|ms| {
            let digits = ms.to_str().ok()?;
            digits
                .bytes()
                .all(|b| b.is_ascii_digit())
                .then(|| digits.parse::<u32>().ok())?
        });
        let waits = waits
            .filter(|ms| *ms > 0)
            .ok_or(bad("Request-Timeout-Ms is missing or malformed\n"))?;
        let key = one(&head.headers, &REPEAT_KEY)?.filter(|key| !key.is_empty());
        check(effect, &head.method, key.is_some())?;
        if body.size_hint().lower() > BODY_LIMIT {
            return Err(ProxyResponse::ClientError {
                status: StatusCode::PAYLOAD_TOO_LARGE,
                message: "the body is over 32 MB\n",
            });
        }
        let body = payload(body).await?;
        if head.method == Method::GET && !matches!(&body, Payload::Whole(bytes) if bytes.is_empty())
        {
            return Err(bad("a GET has no body\n"));
        }
        let text = |name| head.headers.get(name).and_then(|value| value.to_str().ok());
        let figures = text(FIGURES)
            .unwrap_or_default()
            .split(',')
            .filter_map(|pair| pair.split_once('='));
        let figure = |name| {
            figures
                .clone()
                .find(|(n, _)| n.trim() == name)
                .map(|(_, value)| value.trim())
        };
        let work = figure("cost-guess-ns").and_then(|ns| ns.parse::<f64>().ok());
        Ok(ReceivedRpc {
            version,
            method,
            tenant: self.names.borrow().tenant(text(TENANT)),
            tenant_name: head.headers.get(TENANT).cloned(),
            received_at: Instant::now(),
            timeout: Duration::from_millis(waits.into()),
            is_client_retry: text(CLIENT_REPEAT) == Some("1"),
            expected_work: work.map(|ns| ns / 1e9),
            key: figure("entity")
                .filter(|key| *key != "-")
                .map(birchhub_settings::hash_key),
            request: ParsedRequest {
                verb: head.method,
                uri: Uri::from(
                    head.uri
                        .path_and_query()
                        .cloned()
                        .expect("a path with the method in it"),
                ),
                id: Some(id.clone()),
                key: key.cloned(),
                body,
            },
        })
    }
}
