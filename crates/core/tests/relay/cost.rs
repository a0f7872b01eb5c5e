//! Cost of one message of another daemon for an engine pool, in a loop to be counted by a tool.

use hibiscusvale_core::ids::{HostId, SoftwareVersion};
use hibiscusvale_core::relay::engines::{
    EngineAction, EngineEvent, EnginePool, EnginePoolSettings, EngineUsage, Growth, ListedEngine, PoolUsage,
    Role,
};
use hibiscusvale_core::units::{Millis, MonoTime, Tokens};

/// Requests per engine, of all daemons together.
const REQUESTS_PER_ENGINE: usize = 4;

/// One engine in this many is a prefill engine.
const PREFILL_DIVISOR: usize = 4;

/// An engine pool that receives the usage of many other daemons.
pub struct PeerUpdates {
    pool: EnginePool,
    hosts: Vec<HostId>,
    usage: Vec<PoolUsage>,
    engines: usize,
    now_us: MonoTime,
    next: usize,
    actions: Vec<EngineAction>,
}

impl PeerUpdates {
    pub fn new(daemons: usize, engines: usize) -> Self {
        let settings =
            EnginePoolSettings { memory_tokens: Tokens(80_000), event_tokens: 86, ..Default::default() };
        let mut pool = EnginePool::new(settings, &"entry-own".parse().unwrap(), 0);
        let listed = |number: usize| ListedEngine {
            server: format!("engine-{number}").parse().unwrap(),
            version: SoftwareVersion::default(),
            role: if number.is_multiple_of(PREFILL_DIVISOR) { Role::Prefill } else { Role::Decode },
            slots: 12,
            leaving: false,
            data_centre: "dc-0".parse().unwrap(),
            is_local: true,
        };
        let list = (0..engines).map(listed).collect();
        pool.handle(MonoTime(0), EngineEvent::Engines(list), &mut Vec::new());
        let mut updates = Self {
            pool,
            hosts: (0..daemons).map(|number| format!("entry-{number}").parse().unwrap()).collect(),
            usage: Vec::new(),
            engines,
            now_us: MonoTime(0),
            next: 0,
            actions: Vec::new(),
        };
        let each = (engines * REQUESTS_PER_ENGINE).div_ceil(daemons);
        for daemon in 0..daemons {
            let at_engine = |request: usize| updates.engine_usage(daemon * each + request);
            let engines = (0..each).map(at_engine).collect();
            updates.usage.push(PoolUsage { engines, ..PoolUsage::default() });
        }
        (0..daemons).for_each(|_| updates.step());
        updates
    }

    fn engine_usage(&self, request: usize) -> EngineUsage {
        EngineUsage {
            server: format!("engine-{}", request % self.engines).parse().unwrap(),
            growths: vec![Growth {
                now: Tokens(5_000),
                end: Tokens(9_000),
                answer: Tokens(4_000),
                is_growing: true,
            }],
            prefill_tokens: Tokens::ZERO,
            running: 1,
        }
    }

    /// The next daemon reports that one of its requests has moved to another engine.
    pub fn step(&mut self) {
        let daemon = self.next % self.hosts.len();
        self.next += 1;
        self.now_us = self.now_us + Millis(1);
        let moved = self.engine_usage(self.next);
        let usage = &mut self.usage[daemon];
        usage.engines.remove(0);
        usage.engines.push(moved);
        let event = EngineEvent::Peer { host: self.hosts[daemon].clone(), usage: usage.clone() };
        self.pool.handle(self.now_us, event, &mut self.actions);
        self.actions.clear();
    }
}
