//! What one message of another daemon costs a pool of engines, in a loop for counting.

use hibiscusvale_core::ids::HostId;
use hibiscusvale_core::relay::engines::{
    EngineAction, EngineEvent, EnginePool, EnginePoolSettings, Growth, Holding, Holdings, ListedEngine, Role,
};
use hibiscusvale_core::units::{Millis, MonoTime, Tokens};

/// Requests for each engine that all daemons together have there.
const REQUESTS_PER_ENGINE: usize = 4;

/// One engine in so many reads prompts.
const READERS_DIVISOR: usize = 4;

/// A daemon's pool before so many engines, that hears of so many other daemons.
pub struct Hearing {
    pool: EnginePool,
    hosts: Vec<HostId>,
    holdings: Vec<Holdings>,
    engines: usize,
    now_us: MonoTime,
    next: usize,
    actions: Vec<EngineAction>,
}

impl Hearing {
    pub fn new(daemons: usize, engines: usize) -> Self {
        let settings =
            EnginePoolSettings { memory_tokens: Tokens(80_000), event_tokens: 86, ..Default::default() };
        let mut pool = EnginePool::new(settings, &"entry-own".parse().unwrap(), 0);
        let listed = |number: usize| ListedEngine {
            server: format!("engine-{number}").parse().unwrap(),
            role: if number.is_multiple_of(READERS_DIVISOR) { Role::Prefill } else { Role::Decode },
            slots: 12,
            leaving: false,
            near: true,
        };
        let list = (0..engines).map(listed).collect();
        pool.handle(MonoTime(0), EngineEvent::Engines(list), &mut Vec::new());
        let mut hearing = Self {
            pool,
            hosts: (0..daemons).map(|number| format!("entry-{number}").parse().unwrap()).collect(),
            holdings: Vec::new(),
            engines,
            now_us: MonoTime(0),
            next: 0,
            actions: Vec::new(),
        };
        let each = (engines * REQUESTS_PER_ENGINE).div_ceil(daemons);
        for daemon in 0..daemons {
            let at_engine = |request: usize| hearing.holding(daemon * each + request);
            let engines = (0..each).map(at_engine).collect();
            hearing.holdings.push(Holdings { engines, ..Holdings::default() });
        }
        (0..daemons).for_each(|_| hearing.step());
        hearing
    }

    fn holding(&self, request: usize) -> Holding {
        Holding {
            server: format!("engine-{}", request % self.engines).parse().unwrap(),
            growths: vec![Growth {
                now: Tokens(5_000),
                end: Tokens(9_000),
                answer: Tokens(4_000),
                grows: true,
            }],
            reading: Tokens::ZERO,
            running: 1,
        }
    }

    /// The next daemon tells that one of its requests is at another engine now.
    pub fn step(&mut self) {
        let daemon = self.next % self.hosts.len();
        self.next += 1;
        self.now_us = self.now_us + Millis(1);
        let moved = self.holding(self.next);
        let holdings = &mut self.holdings[daemon];
        holdings.engines.remove(0);
        holdings.engines.push(moved);
        let event = EngineEvent::Peer { host: self.hosts[daemon].clone(), holdings: holdings.clone() };
        self.pool.handle(self.now_us, event, &mut self.actions);
        self.actions.clear();
    }
}
