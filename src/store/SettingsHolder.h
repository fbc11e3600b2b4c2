#pragma once

/// The settings tree that this process holds, shared by its I/O threads.

#include "core/Messages.h"
#include "core/SettingsTree.h"
#include "store/SettingsStore.h"
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace limpetpond {

/// Holds the newest tree and the last changes. Any thread may call; the version never falls.
///
///     SettingsHolder holder;
///     std::shared_ptr<const Settings> settings = fetchFromStore(holder, store).value();
class SettingsHolder {
public:
    SettingsHolder();

    std::shared_ptr<const SettingsTree> tree() const;

    /// The tree as it stands, resolved. Null before the first tree was adopted.
    std::shared_ptr<const Settings> settings() const;

    /// Takes a tree in unless a newer one is held, and returns what is in force then.
    /// `changes` are those that led to the tree, as far as they are known.
    std::shared_ptr<const Settings> adopt(SettingsTree, std::vector<AcceptedChange> changes = {});

    /// The changes after a version, oldest first; none when they are no longer held.
    std::optional<std::vector<AcceptedChange>> changesAfter(SettingsVersion) const;

private:
    void remember(std::vector<AcceptedChange>);

    mutable std::mutex m_mutex;
    std::shared_ptr<const SettingsTree> m_tree;
    std::shared_ptr<const Settings> m_settings;
    std::deque<AcceptedChange> m_changes; ///< Without gaps, up to the tree's version.
};

/// Brings the holder up to the table service. Errors: those of SettingsStore::catchUp.
///
///     post(SettingsArrived { fetchFromStore(holder, store).value() });
Result<std::shared_ptr<const Settings>> fetchFromStore(SettingsHolder&, SettingsStore&);

/// Has the store accept a change and takes the result into the holder. Errors: those of SettingsStore::accept.
///
///     Result<StoredChange> stored = acceptAndAdopt(holder, store, changeForMark(step), clock.systemNow());
Result<StoredChange> acceptAndAdopt(SettingsHolder&, SettingsStore&, const ProposedChange&, SystemTime now);

/// The change that a step of the cleaning schedule stands for.
ProposedChange changeForMark(const MarkTarget&);

} // namespace limpetpond
