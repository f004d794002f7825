//! Injected defects, which the oracle must detect.

use {
    super::store::Store,
    marigoldroute_core::{
        config::{Body, HEAD_KEY, Head, LOG_PREFIX, Packet, Record, log_key, request_key},
        fleet::{Fact, Gossip, Report},
        id::Version,
        table::Transaction,
    },
    std::time::Duration,
};

/// Replaces the records by the version after the next one of the recipient, under the number of the
/// next one.
pub fn renumber(mut packet: Packet, version: Version) -> Packet {
    if let Some(Body::Versions(versions)) = &mut packet.body {
        let records = versions.records.iter();
        let records = records.map(|text| serde_json::from_str::<Record>(text).unwrap());
        let after = records
            .into_iter()
            .find(|record| record.version == version + 2);
        if let Some(mut record) = after {
            record.version = version + 1;
            versions.records = vec![serde_json::to_string(&record).unwrap()];
        }
    }
    packet
}

/// Drops the reports on upstreams.
pub fn drop_reports(mut gossip: Gossip) -> Gossip {
    let is_report = |fact: &Fact| matches!(fact, Fact::Report(_));
    gossip
        .marks
        .retain(|mark| !mark.fact.as_ref().is_some_and(is_report));
    gossip
}

/// Repeats each report under the names of all hosts.
pub fn forge_reports(mut gossip: Gossip) -> Gossip {
    let reports = gossip.marks.iter().filter_map(|mark| match &mark.fact {
        Some(Fact::Report(report)) => Some(report.clone()),
        _ => None,
    });
    let forged: Vec<_> = reports
        .flat_map(|report| {
            (0..super::simulation::HOSTS).map(move |host| Report {
                reporter: format!("h{host}"),
                ..report.clone()
            })
        })
        .collect();
    let marks = forged.into_iter().map(|report| Fact::Report(report).into());
    gossip.marks.extend(marks);
    gossip
}

/// Removes version `LOST` from the store while it is the newest, as if it had never been accepted.
pub fn lose_version(store: &mut Store, now: Duration) {
    const LOST: Version = 11;
    let rows = store.rows(LOG_PREFIX);
    let Some(row) = rows.last().filter(|row| *row.key == *log_key(LOST)) else {
        return;
    };
    let record: Record = serde_json::from_str(&row.value).unwrap();
    let version = record.version - 1;
    let mut transaction = Transaction::default();
    transaction.delete(row.key.clone());
    transaction.delete(request_key(&record.request));
    transaction.put(HEAD_KEY, serde_json::to_string(&Head { version }).unwrap());
    store.apply(now, &transaction);
}
