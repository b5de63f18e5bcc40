//! Faults that begin at times drawn from the seed: hosts are stopped, killed, stalled and
//! cut off, and servers freeze.

use rand::Rng;

use super::hosts::EngineKind;
use super::{MILLIS, Play};

/// On average, eighteen faults begin in so many steps; a play draws one of these numbers.
const RARITIES: [u32; 3] = [400, 1_500, 4_000];

/// Hosts that are stopping or gone, and what becomes of them.
struct Replacement {
    host: usize,
    /// When it, or another host in its place, starts.
    again_at: u64,
}

/// The faults of one play.
pub struct Faults {
    replaced: Vec<Replacement>,
    /// When the current cuts end.
    heal_at: u64,
    rarity: u32,
}

impl Faults {
    /// Draws how often faults begin.
    pub fn new(rng: &mut impl Rng) -> Self {
        Self {
            replaced: Vec::new(),
            heal_at: 0,
            rarity: RARITIES[rng.random_range(0..3)],
        }
    }

    /// Perhaps begins a fault; ends those that are over.
    pub fn step(&mut self, play: &mut Play) {
        let drawn = play.rng.random_range(0..6);
        let listed = play.lists.last().unwrap();
        let host = listed[drawn % listed.len()];
        match play.rng.random_range(0..self.rarity) {
            0..6 => self.stop(play, host),
            6..8 => self.kill(play, host),
            8..14 => {
                let longest = [80, 400, 1_200, 3_000][play.rng.random_range(0..4)];
                let micros = play.rng.random_range(10..longest) * MILLIS;
                let kinds: &[EngineKind] = match play.rng.random_range(0..4) {
                    0 => &[EngineKind::Control],
                    1 => &[EngineKind::Traffic],
                    _ => &[EngineKind::Control, EngineKind::Traffic],
                };
                play.stall_host(host, kinds, micros);
            }
            14..16 => play.freeze_any_server(1_500 * MILLIS),
            16..18 => self.cut(play, host),
            _ => {}
        }
        if play.now >= self.heal_at && !play.cuts.is_empty() {
            play.cuts.clear();
            let line = format!("# {} cuts end", play.now);
            play.note(line);
        }
        self.finish_replacements(play);
    }

    fn busy(&self, host: usize) -> bool {
        self.replaced.iter().any(|replaced| replaced.host == host)
    }

    fn stop(&mut self, play: &mut Play, host: usize) {
        let most = if play.plan.replaces_hosts { 1 } else { 2 };
        if self.busy(host) || self.replaced.len() >= most {
            return;
        }
        play.stop_host(host);
        play.fabric_hosts.retain(|listed| *listed != host);
        let again_at = play.now + play.rng.random_range(1_000..6_000) * MILLIS;
        self.replaced.push(Replacement { host, again_at });
    }

    fn kill(&mut self, play: &mut Play, host: usize) {
        if self.replaced.len() >= 3 {
            return;
        }
        play.crash_host(host);
        if !self.busy(host) {
            let again_at = play.now + play.rng.random_range(100..6_000) * MILLIS;
            self.replaced.push(Replacement { host, again_at });
        }
    }

    fn cut(&mut self, play: &mut Play, host: usize) {
        let both = play.rng.random_bool(0.5);
        for other in 0..play.hosts.len() {
            if other != host {
                if both || play.rng.random_bool(0.5) {
                    play.cuts.push((host, other));
                }
                if both || play.rng.random_bool(0.3) {
                    play.cuts.push((other, host));
                }
            }
        }
        self.heal_at = play.now + play.rng.random_range(300..3_000) * MILLIS;
        let line = format!("# {} cuts {:?}", play.now, play.cuts);
        play.note(line);
    }

    fn finish_replacements(&mut self, play: &mut Play) {
        for replaced in std::mem::take(&mut self.replaced) {
            let host = replaced.host;
            if play.hosts[host].drained && play.hosts[host].is_up() {
                play.crash_host(host);
                if play.plan.replaces_hosts {
                    unlist(play, host);
                }
            }
            let is_listed = play.lists.last().unwrap().contains(&host);
            if play.now >= replaced.again_at && !is_listed {
                list_another(play, host);
                continue;
            }
            if play.now >= replaced.again_at && !play.hosts[host].is_up() {
                play.start_host(host);
                if !play.fabric_hosts.contains(&host) {
                    play.fabric_hosts.push(host);
                }
            } else {
                self.replaced.push(replaced);
            }
        }
    }
}

fn unlist(play: &mut Play, host: usize) {
    let listed = play.lists.last().unwrap().iter().copied();
    let rest = listed.filter(|other| *other != host).collect();
    play.publish(rest);
}

/// Starts a host of the failure domain of `host` that is not listed, and lists it.
fn list_another(play: &mut Play, host: usize) {
    let mut listed = play.lists.last().unwrap().clone();
    let mut hosts = (0..play.hosts.len()).rev();
    let spare = hosts.find(|other| {
        let same_domain = play.hosts[*other].domain == play.hosts[host].domain;
        same_domain && !listed.contains(other)
    });
    let spare = spare.unwrap();
    play.start_host(spare);
    listed.push(spare);
    play.publish(listed);
    play.fabric_hosts.push(spare);
}
