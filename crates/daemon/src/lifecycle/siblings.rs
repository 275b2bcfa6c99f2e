//! What the processes of one proxy share in `$TMPDIR` while one replaces the other: who lives, and what staff
//! ordered. Data, no decisions.
use crate::lifecycle::state::AdminState;
use std::fs::{File, TryLockError};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};
use tokio::time::{Instant, sleep};

const SLOTS: usize = 4; // processes that can live at a time: one replaces one, and one may hang on
pub(crate) const MAX_DESCRIPTORS: usize = SLOTS + 2; // descriptors: these, the lock and a file that is read or written
const LOCK_TIME: Duration = Duration::from_millis(300); // for the lock: who holds it writes a few bytes
const LOCK_EVERY: Duration = Duration::from_millis(5); // between tries for it

/// Tells one content of the file from the next.
type Stamp = (SystemTime, u64);

pub(crate) struct ProcessGroup {
    folder: PathBuf,
    slots: Vec<File>,
    own: Option<usize>,
    lock: File,
    stamp: Option<Stamp>, // of what was read or written last
    told: Option<bool>,   // whether this one accepts clients
}

/// Other processes of this proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Siblings {
    pub alive: usize,
    /// Of these, such as accept clients and are not told to end.
    pub accepting: usize,
}

fn open(path: &Path) -> Result<File, String> {
    let file = File::options()
        .create(true)
        .truncate(false)
        .write(true)
        .open(path);
    file.map_err(|e| format!("{}: {e}", path.display()))
}

/// A name of its own for each proxy's folder. Guards against orders for one that hold at another, whose name differs
/// only in signs that a file may not have. Usual names stand as they are: a process of an older version knows them too.
fn folder(name: &str) -> String {
    let mut folder = "birchhub-".to_owned();
    for byte in name.bytes() {
        match byte {
            b'-' | b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' => folder.push(byte.into()),
            other => folder.push_str(&format!("%{other:02x}")),
        }
    }
    folder
}

impl ProcessGroup {
    /// The folder of the proxy of this name. Its own slot is taken with the first count of others.
    pub(crate) fn open(name: &str) -> Result<Self, String> {
        let parent = std::env::var_os("TMPDIR").ok_or("TMPDIR is not set")?;
        Self::open_in(Path::new(&parent).join(folder(name)))
    }

    /// The same in this folder.
    pub(crate) fn open_in(folder: PathBuf) -> Result<Self, String> {
        std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        let slots = (0..SLOTS)
            .map(|n| open(&folder.join(format!("birchhub.life.{n}"))))
            .collect::<Result<_, _>>()?;
        let lock = open(&folder.join("birchhub.lock"))?;
        Ok(Self {
            folder,
            slots,
            own: None,
            lock,
            stamp: None,
            told: None,
        })
    }

    /// Tells the others whether this one accepts clients, once it has a slot. What an earlier holder told is void.
    pub(crate) fn tell(&mut self, accepts: bool) {
        if let Some(slot) = self
            .own
            .map(|n| &self.slots[n])
            .filter(|_| self.told != Some(accepts))
        {
            // Where it can't be written it tells nothing: this process is one that does not accept.
            self.told = slot.set_len(u64::from(accepts)).is_ok().then_some(accepts);
        }
    }

    /// How many other processes of this proxy live, and how many of these accept clients. A lock ends with its holder,
    /// however that ends.
    pub(crate) fn others(&mut self) -> Siblings {
        // Another one that looks at the same moment may hold the slot: the next look takes one then.
        self.own = self
            .own
            .or_else(|| self.slots.iter().position(|slot| slot.try_lock().is_ok()));
        self.tell(self.told.unwrap_or(false));
        let lives = |slot: &File| match slot.try_lock_shared() {
            Ok(()) => slot.unlock().is_err(),
            Err(TryLockError::WouldBlock) => true,
            Err(TryLockError::Error(_)) => false,
        };
        let others = self
            .slots
            .iter()
            .enumerate()
            .filter(|(n, _)| Some(*n) != self.own);
        let living: Vec<_> = others
            .map(|(_, slot)| slot)
            .filter(|slot| lives(slot))
            .collect();
        let accepts = |slot: &&&File| slot.metadata().is_ok_and(|facts| facts.len() > 0);
        Siblings {
            alive: living.len(),
            accepting: living.iter().filter(accepts).count(),
        }
    }

    fn path(&self) -> PathBuf {
        self.folder.join("birchhub.standing")
    }

    fn stamped(&self) -> Option<Stamp> {
        use std::os::unix::fs::MetadataExt;
        let facts = std::fs::metadata(self.path()).ok()?;
        Some((facts.modified().ok()?, facts.ino()))
    }

    /// What the file says, if that is new; an error if it can't be read.
    pub(crate) fn read(&mut self) -> Result<Option<AdminState>, String> {
        let stamp = self.stamped();
        if stamp.is_none() || stamp == self.stamp {
            return Ok(None);
        }
        self.stamp = stamp;
        let at = |e: &dyn std::fmt::Display| format!("{}: {e}", self.path().display());
        let bytes = std::fs::read(self.path()).map_err(|e| at(&e))?;
        serde_json::from_slice(&bytes).map(Some).map_err(|e| at(&e))
    }

    /// Changes what the file says, or where it says nothing that can be read what `own` says, and gives back
    /// what holds now. The file is whole at each moment.
    pub(crate) async fn update(
        &mut self,
        own: &AdminState,
        change: impl FnOnce(&mut AdminState),
    ) -> Result<AdminState, String> {
        let until = Instant::now() + LOCK_TIME;
        while self.lock.try_lock().is_err() {
            if Instant::now() >= until {
                return Err(format!("{}: birchhub.lock is held", self.folder.display()));
            }
            sleep(LOCK_EVERY).await;
        }
        let told = std::fs::read(self.path())
            .ok()
            .and_then(|bytes| serde_json::from_slice(&bytes).ok());
        let mut orders: AdminState = told.unwrap_or_else(|| own.clone());
        let before = orders.clone();
        change(&mut orders);
        let written = if orders == before && self.stamped().is_some() {
            Ok(())
        } else {
            self.write(&orders)
        };
        let _ = self.lock.unlock();
        written
            .map(|()| orders)
            .map_err(|e| format!("{}: {e}", self.path().display()))
    }

    fn write(&mut self, orders: &AdminState) -> std::io::Result<()> {
        let fresh = self.folder.join("birchhub.standing.new");
        let mut file = File::create(&fresh)?;
        file.write_all(serde_json::to_string(orders)?.as_bytes())?;
        std::fs::rename(fresh, self.path())?;
        self.stamp = self.stamped();
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::lifecycle::state::Maintenance;

    fn in_folder(test: impl AsyncFnOnce(&dyn Fn() -> ProcessGroup, PathBuf)) {
        static NEXT: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);
        let number = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let folder =
            std::env::temp_dir().join(format!("birchhub-shared-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let make = || {
            let slots = (0..SLOTS)
                .map(|n| open(&folder.join(format!("birchhub.life.{n}"))).expect("a slot"));
            let lock = open(&folder.join("birchhub.lock")).expect("a lock");
            ProcessGroup {
                folder: folder.clone(),
                slots: slots.collect(),
                own: None,
                lock,
                stamp: None,
                told: None,
            }
        };
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .build()
            .expect("a runtime");
        runtime.block_on(test(&make, folder.join("birchhub.standing")));
        std::fs::remove_dir_all(&folder).expect("the folder");
    }

    #[test]
    fn no_two_proxies_share_a_folder() {
        let names = ["n0", "n-0", "n.0", "n%2e0", "n/0", "n 0", "é", ".."];
        let all: std::collections::HashSet<_> = names.iter().map(|name| folder(name)).collect();
        assert_eq!(all.len(), names.len());
        assert!(all.iter().all(|folder| !folder.contains(['/', '\0'])));
        assert_eq!(folder("n-0"), "birchhub-n-0");
    }

    #[test]
    fn lives_are_counted_and_end_with_their_holder() {
        in_folder(async |make, _| {
            let (mut one, mut two) = (make(), make());
            assert_eq!(
                (one.others().alive, two.others().alive, one.others().alive),
                (0, 1, 1)
            );
            drop(two);
            assert_eq!(one.others().alive, 0);
            assert_eq!(make().others().alive, 1);
        });
    }

    /// One that has just started is no heir yet, whoever had its slot before, and one that is to end is none any more.
    #[test]
    fn who_accepts_is_told() {
        in_folder(async |make, _| {
            let (mut one, mut two) = (make(), make());
            one.others();
            two.others();
            let heirs = |of: &mut ProcessGroup| of.others().accepting;
            assert_eq!((heirs(&mut one), heirs(&mut two)), (0, 0));
            two.tell(true);
            assert_eq!((heirs(&mut one), heirs(&mut two)), (1, 0));
            drop(two);
            let mut three = make();
            assert_eq!((heirs(&mut three), heirs(&mut one)), (0, 0));
            three.tell(true);
            three.tell(false);
            assert_eq!(
                one.others(),
                Siblings {
                    alive: 1,
                    accepting: 0
                }
            );
        });
    }

    /// Two that change it in turn lose nothing; a damaged file is an error once, and is written over.
    #[test]
    fn changes_of_both_are_kept_and_damage_is_survived() {
        in_folder(async |make, path| {
            let (mut one, mut two, own) = (make(), make(), AdminState::default());
            let ban = |name: &'static str| {
                move |o: &mut AdminState| _ = o.maintenance.insert(name.into(), Maintenance::Active)
            };
            one.update(&own, ban("a")).await.expect("written");
            let both = two.update(&own, ban("b")).await.expect("written");
            assert_eq!(both.maintenance.len(), 2);
            assert_eq!(
                (one.read(), one.read(), two.read()),
                (Ok(Some(both.clone())), Ok(None), Ok(None))
            );
            std::fs::write(&path, "{\"bans\"").expect("written");
            assert!(one.read().is_err() && one.read() == Ok(None));
            assert_eq!(
                one.update(&both, ban("c"))
                    .await
                    .expect("written")
                    .maintenance
                    .len(),
                3
            );
            two.lock.lock().expect("locked");
            assert!(one.update(&both, ban("d")).await.is_err());
        });
    }
}
