//! In-memory stand-in server of the table service and the object store.

use {
    crate::listen::serve,
    marigoldroute_core::table::{Memory, Row, Transaction, Verdict, Write},
    poem::{
        Body, EndpointExt, IntoResponse, Response, Route, get, handler,
        http::StatusCode,
        post,
        web::{Data, Json, Path, Query},
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard},
        time::Duration,
    },
};

/// Maximum number of rows that a scan returns.
const SCAN_LIMIT: usize = 1_000;
/// Size limit of an object in bytes.
const OBJECT_LIMIT_BYTES: usize = 64 << 20;

/// Faults to inject; a new set replaces the earlier one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct InjectedFaults {
    /// Answer every call with 503 and change nothing.
    pub down: bool,
    /// Delay before each call is handled, in milliseconds.
    pub delay_ms: u64,
    /// Number of writes that take effect but are answered with 500, as if the answer were lost.
    pub lose_answers: u32,
}

/// Numbers of reads, writes and conflicts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Rows and objects read; an empty answer counts as one.
    pub reads: u64,
    /// Rows and objects written.
    pub writes: u64,
    /// Transactions with a failed condition.
    pub conflicts: u64,
}

#[derive(Debug, Default)]
struct State {
    table: Memory,
    objects: BTreeMap<String, Vec<u8>>,
    faults: InjectedFaults,
    /// Key of a row, and the number of its writes whose answers are still to be lost.
    lost_answers: Option<(String, u32)>,
    counters: Counters,
}

impl State {
    /// Returns whether the answer of a transaction is one of the row's that are to be lost, and
    /// counts it.
    fn takes_answer(&mut self, transaction: &Transaction) -> bool {
        let Some((key, count)) = &mut self.lost_answers else {
            return false;
        };
        let mut keys = transaction.writes.iter().map(|write| match write {
            Write::Put { key, .. } | Write::Delete { key } => &**key,
        });
        let is_lost = *count > 0 && keys.any(|written| written == key);
        *count -= u32::from(is_lost);
        is_lost
    }
}

/// A stand-in server; clones share their state.
#[derive(Clone, Debug, Default)]
pub struct StandIn(Arc<Mutex<State>>);

impl StandIn {
    /// Returns the counters since the start.
    pub fn counters(&self) -> Counters {
        self.lock().counters
    }

    /// Replaces the injected faults.
    pub fn inject(&self, faults: InjectedFaults) {
        self.lock().faults = faults;
    }

    /// Loses the answers of the next `count` transactions that write a row, as
    /// [`InjectedFaults::lose_answers`] does for writes of any kind; replaces the earlier row.
    pub fn lose_answers_of(&self, key: impl Into<String>, count: u32) {
        self.lock().lost_answers = Some((key.into(), count));
    }

    /// Returns the number of answers of [`Self::lose_answers_of`] that are still to be lost.
    pub fn answers_to_lose(&self) -> u32 {
        let lost_answers = &self.lock().lost_answers;
        lost_answers.as_ref().map_or(0, |(_, count)| *count)
    }

    /// Binds `address` and serves until the returned future is dropped.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub async fn bind(
        &self,
        address: SocketAddr,
    ) -> anyhow::Result<(SocketAddr, impl Future<Output = ()> + Send + use<>)> {
        serve("platform stand-in", address, self.routes())
    }

    fn routes(&self) -> impl poem::Endpoint + use<> {
        Route::new()
            .at("/v1/rows", get(scan_rows))
            .at("/v1/rows/*key", get(read_row))
            .at("/v1/transactions", post(commit_rows))
            .at("/v1/objects", get(list_objects))
            .at(
                "/v1/objects/*key",
                get(read_object).put(write_object).delete(delete_object),
            )
            .at("/v1/faults", post(inject_faults))
            .at("/v1/counters", get(read_counters))
            .data(self.clone())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Applies the injected delay, then the injected outage.
    async fn apply_faults(&self) -> Result<(), StatusCode> {
        let faults = self.lock().faults;
        if faults.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        if faults.down {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        Ok(())
    }

    /// Runs a read, which returns a value and the number of rows or objects to count.
    async fn read<T>(&self, read: impl FnOnce(&State) -> (T, usize)) -> Result<T, StatusCode> {
        self.apply_faults().await?;
        let mut state = self.lock();
        let (value, count) = read(&state);
        state.counters.reads += count.max(1) as u64;
        Ok(value)
    }

    /// Runs a write; fails with 500 after the write when its answer is to be lost.
    async fn write<T>(&self, write: impl FnOnce(&mut State) -> T) -> Result<T, StatusCode> {
        self.apply_faults().await?;
        let mut state = self.lock();
        let value = write(&mut state);
        if state.faults.lose_answers > 0 {
            state.faults.lose_answers -= 1;
            return Err(StatusCode::INTERNAL_SERVER_ERROR);
        }
        Ok(value)
    }
}

#[derive(Deserialize)]
struct Scan {
    prefix: String,
    #[serde(default)]
    after: String,
    limit: Option<usize>,
}

#[handler]
async fn scan_rows(
    service: Data<&StandIn>,
    Query(scan): Query<Scan>,
) -> Result<Json<Vec<Row>>, StatusCode> {
    let limit = scan.limit.unwrap_or(SCAN_LIMIT).min(SCAN_LIMIT);
    let read = |state: &State| {
        let rows = state.table.scan(&scan.prefix, &scan.after, limit);
        let count = rows.len();
        (rows, count)
    };
    service.read(read).await.map(Json)
}

#[handler]
async fn read_row(
    service: Data<&StandIn>,
    Path(key): Path<String>,
) -> Result<Json<Row>, StatusCode> {
    let row = service
        .read(|state| (state.table.get(&key).cloned(), 1))
        .await?;
    row.map(Json).ok_or(StatusCode::NOT_FOUND)
}

#[handler]
async fn commit_rows(
    service: Data<&StandIn>,
    Json(transaction): Json<Transaction>,
) -> Result<Response, StatusCode> {
    let write = |state: &mut State| {
        let verdict = state.table.commit(&transaction);
        match verdict {
            Verdict::Committed => state.counters.writes += transaction.writes.len() as u64,
            Verdict::Conflict(_) => state.counters.conflicts += 1,
        }
        (!state.takes_answer(&transaction)).then_some(verdict)
    };
    let verdict = service.write(write).await?;
    Ok(match verdict.ok_or(StatusCode::INTERNAL_SERVER_ERROR)? {
        Verdict::Committed => StatusCode::OK.into_response(),
        Verdict::Conflict(rows) => Json(rows).with_status(StatusCode::CONFLICT).into_response(),
    })
}

#[derive(Deserialize)]
struct List {
    prefix: String,
    #[serde(default)]
    after: String,
    limit: Option<usize>,
}

#[handler]
async fn list_objects(
    service: Data<&StandIn>,
    Query(list): Query<List>,
) -> Result<Json<Vec<String>>, StatusCode> {
    let read = |state: &State| {
        let keys = state
            .objects
            .keys()
            .filter(|key| key.starts_with(&list.prefix) && **key > list.after)
            .take(list.limit.unwrap_or(usize::MAX));
        let keys: Vec<_> = keys.cloned().collect();
        let count = keys.len();
        (keys, count)
    };
    service.read(read).await.map(Json)
}

#[handler]
async fn read_object(
    service: Data<&StandIn>,
    Path(key): Path<String>,
) -> Result<Vec<u8>, StatusCode> {
    let object = service
        .read(|state| (state.objects.get(&key).cloned(), 1))
        .await?;
    object.ok_or(StatusCode::NOT_FOUND)
}

#[handler]
async fn write_object(
    service: Data<&StandIn>,
    Path(key): Path<String>,
    body: Body,
) -> Result<(), StatusCode> {
    let body = body.into_bytes_limit(OBJECT_LIMIT_BYTES).await;
    let body = body.map_err(|_| StatusCode::PAYLOAD_TOO_LARGE)?;
    let write = |state: &mut State| {
        state.counters.writes += 1;
        state.objects.insert(key, body.to_vec());
    };
    service.write(write).await
}

#[handler]
async fn delete_object(service: Data<&StandIn>, Path(key): Path<String>) -> Result<(), StatusCode> {
    let write = |state: &mut State| {
        state.counters.writes += 1;
        state.objects.remove(&key);
    };
    service.write(write).await
}

#[handler]
fn inject_faults(service: Data<&StandIn>, Json(faults): Json<InjectedFaults>) {
    service.inject(faults);
}

#[handler]
fn read_counters(service: Data<&StandIn>) -> Json<Counters> {
    Json(service.counters())
}
