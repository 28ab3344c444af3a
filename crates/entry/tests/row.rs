//! The JSON of the fleet's lease row: it round-trips and stays within the store's limit for a row.

use bamboocourse_decide::{
    FloorHistory, LeaseRow, PoolRecord, Relay, Roster, UnreportedSpend, VmId, WorkspaceId,
};
use bamboocourse_entry::{HeldRow, LeaderRow};

/// The longest row that the platform's store accepts, in bytes.
const MAX_ROW_BYTES: usize = 65_536;

/// Returns a row as it stands right after all of `vms` VMs were killed: each workspace lists every
/// VM twice, with what it may spend and with what it may have spent unreported.
fn row(vms: usize, workspaces: usize) -> LeaderRow {
    let vm = |index: usize| VmId::new(format!("edge-tw-south-a-{index}"));
    let relay = |index: usize| Relay {
        vm: vm(index),
        domain: "tw-south-a".into(),
        peer: ([10, 1, 0, 14], 8689).into(),
    };
    let record = |workspace: usize| PoolRecord {
        used: vec![123_456; 8],
        open: (0..vms).map(|index| (vm(index), 10_000 + (index * workspace) as u64)).collect(),
        reserve: 50_000,
        unheard: (0..vms)
            .map(|index| (vm(index), UnreportedSpend { tokens: 12_345, age: 1_234 }))
            .collect(),
    };
    let mut past = FloorHistory { at: 123_456_789, ..FloorHistory::default() };
    (0..workspaces).for_each(|index| past.set(format!("w{index}").into(), &[4_321; 8]));
    LeaderRow {
        lease: LeaseRow { holder: vm(0), life: 1_787_464_063_434, fence: 5, renewals: 99, era: 0 },
        peer: "10.1.0.14:8689".parse().expect("an address"),
        era: 7,
        noted: 123_456_789,
        pools: (0..workspaces)
            .map(|index| (WorkspaceId::new(format!("workspace-{index}")), record(index)))
            .collect(),
        orderer: vm(1),
        orders_from: 123_456_789,
        past: (0..vms.min(20)).map(|index| (vm(index), past.clone())).collect(),
        floors: (0..vms).map(|index| (vm(index), 4_545)).collect(),
        roster: Roster {
            version: 5,
            relays: (0..vms).map(relay).collect(),
            target: 3,
            leader: vm(0),
        },
        held: (0..16)
            .map(|index| HeldRow {
                part: format!("5c1e07a2{index}").into(),
                digest: None,
                workspace: Some("workspace-1".into()),
                first: 123_456_789,
                last: 123_456_789,
                ends: 5,
                trials: 1,
                weak: true,
            })
            .collect(),
    }
}

#[test]
fn decode_returns_the_encoded_row() {
    let row = row(8, 5);
    let bytes = row.encode(MAX_ROW_BYTES).expect("the row fits");
    assert_eq!(LeaderRow::decode(&bytes), Ok(row));
}

/// After a kill of all 79 VMs of a fleet, the store refused the row as too long, so no tokens were
/// granted and the lease was lost again and again.
#[test]
fn the_row_of_many_vms_fits_the_limit() {
    for vms in [79, 120, 400] {
        let row = row(vms, 16);
        let bytes = row.encode(MAX_ROW_BYTES).expect("the row fits");
        assert!(bytes.len() <= MAX_ROW_BYTES, "{} bytes for {vms} VMs", bytes.len());
        let read = LeaderRow::decode(&bytes).expect("the row decodes");
        for (name, record) in &row.pools {
            let sum = |record: &PoolRecord| record.open.values().sum::<u64>();
            assert_eq!(
                sum(&read.pools[name]),
                sum(record),
                "the merged entry keeps the sum of what VMs may spend"
            );
        }
    }
}

#[test]
fn encode_fails_if_the_merged_row_is_too_long() {
    assert!(row(4, 2).encode(100).is_err());
}

#[test]
fn decode_fails_on_another_format() {
    assert!(LeaderRow::decode(b"{}").is_err());
    assert!(LeaderRow::decode(b"no JSON").is_err());
}
