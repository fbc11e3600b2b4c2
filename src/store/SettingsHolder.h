#pragma once

/// The settings tree of this process, shared by its I/O threads.

#include "core/Messages.h"
#include "core/SettingsTree.h"
#include "store/SettingsStore.h"
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace limpetpond {

/// Holds the newest settings tree and the most recent changes. Thread-safe. The version never decreases.
///
///     SettingsHolder holder;
///     std::shared_ptr<const Settings> settings = fetchFromStore(holder, store).value();
class SettingsHolder {
public:
    SettingsHolder();

    std::shared_ptr<const SettingsTree> tree() const;

    /// The settings resolved from the current tree. Null until the first tree is adopted.
    std::shared_ptr<const Settings> settings() const;

    /// Replaces the tree unless the held one is at least as new, and returns the settings then in force.
    /// `changes` are those that led to the tree, as far as they are known.
    std::shared_ptr<const Settings> adopt(SettingsTree, std::vector<AcceptedChange> changes = {});

    /// The changes after a version, oldest first. No value when they are no longer held.
    std::optional<std::vector<AcceptedChange>> changesAfter(SettingsVersion) const;

private:
    void recordChanges(std::vector<AcceptedChange>);

    mutable std::mutex m_mutex;
    std::shared_ptr<const SettingsTree> m_tree;
    std::shared_ptr<const Settings> m_settings;
    std::deque<AcceptedChange> m_changes; ///< Consecutive versions; the last one is that of the tree.
};

/// Updates the holder to the newest tree of the table service. Errors: those of SettingsStore::catchUp.
///
///     post(SettingsArrived { fetchFromStore(holder, store).value() });
Result<std::shared_ptr<const Settings>> fetchFromStore(SettingsHolder&, SettingsStore&);

/// Commits a change to the store and adopts the result in the holder. Errors: those of SettingsStore::accept.
///
///     Result<StoredChange> stored = acceptAndAdopt(holder, store, changeForMark(step), clock.systemNow());
Result<StoredChange> acceptAndAdopt(SettingsHolder&, SettingsStore&, const ProposedChange&, SystemTime now);

/// The change that sets or clears a target's cleaning mark, for a step of the cleaning schedule.
ProposedChange changeForMark(const MarkTarget&);

} // namespace limpetpond
