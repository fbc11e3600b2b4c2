#pragma once

/// The settings tree in the platform's table service.
///
/// One partition holds the version row (`head`), a row for each change (`change#VERSION`), a row
/// for each change id (`id#ID`) and a snapshot of the tree in pieces (`snapshot`, `snapshot#VERSION#N`).
/// A change is one transaction on the first three, under the condition that the version row
/// is unchanged and the change id is new.

#include "core/SettingsTree.h"
#include "limpetpond/Clock.h"
#include "store/TableClient.h"
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace limpetpond {

/// The calls of TableClient that the store makes.
struct TableAccess {
    std::function<Result<std::optional<TableItem>>(const TableKey&)> get;
    std::function<Result<std::vector<TableItem>>(const TableQuery&)> query;
    std::function<Result<TransactionResult>(const std::vector<TableWrite>&)> transact;
};

/// The calls of a client that outlives the result.
///
///     SettingsStore store({ .table = tableAccess(client) });
TableAccess tableAccess(TableClient&);

/// The table service shows an older version than one that was in force: it was restored to an older state.
struct StoreRolledBack {
    SettingsVersion storeVersion;
    SettingsVersion heldVersion;
};

/// A change may or may not have taken effect; asking again with the same change id tells.
struct UnknownOutcome {
    ChangeId change;
};

/// A change that an operator or the cleaning schedule wants.
struct ProposedChange {
    ChangeId change; ///< The same for every try of one change.
    std::string author;
    std::vector<SettingsEdit> edits;
};

/// The newest tree and the changes that led to it from the one that was held, as far as they were read.
struct SettingsCatchUp {
    SettingsTree tree;
    std::vector<AcceptedChange> changes;
};

/// A change in the table service and the tree that it made.
struct StoredChange {
    SettingsCatchUp newest; ///< At `change.version` or later.
    AcceptedChange change;
    bool acceptedEarlier { false }; ///< An earlier try with the same change id was accepted.
};

namespace detail {

    /// How one try to have a change accepted ended.
    struct AcceptTry {
        std::optional<StoredChange> stored;
        std::variant<std::monostate, InvalidSetting, SettingsConflict, StoreRolledBack, CallError> failure; ///< None: another change came first.
        bool mayHaveCommitted { false };
    };

} // namespace detail

struct SettingsStoreOptions {
    TableAccess table;
    std::string partition { "settings" };
    int snapshotEvery { 32 }; ///< Changes between snapshots.
    std::size_t snapshotPieceBytes { 200'000 };
    int maxAttempts { 8 }; ///< Of one transaction, over races and lost answers.
    std::function<void(std::chrono::milliseconds)> sleep; ///< Between tries; null sleeps the thread.
};

/// A thread-safe client of the settings rows.
///
///     Result<SettingsCatchUp> newest = store.catchUp({});
class SettingsStore {
public:
    explicit SettingsStore(SettingsStoreOptions);

    /// The version row; version 0 where no change was ever accepted. Errors: CallError.
    Result<SettingsVersion> readHead();

    /// The newest tree, from the one that is held. Errors: CallError, StoreRolledBack, InvalidSetting for rows that can't be read.
    Result<SettingsCatchUp> catchUp(const SettingsTree& held);

    /// The changes after a version, oldest first. Errors: CallError.
    Result<std::vector<AcceptedChange>> changesAfter(SettingsVersion);

    /// Accepts a change: commits it over the newest tree, or finds that its change id was accepted earlier.
    /// An edit on a branch that others left alone is rebased over their changes.
    /// Errors: InvalidSetting, SettingsConflict, StoreRolledBack, UnknownOutcome, CallError where nothing took effect.
    Result<StoredChange> accept(const SettingsTree& held, const ProposedChange&, SystemTime now);

    /// Brings a store that was restored to an older state back up to the tree that is held, at a version well
    /// above any that was given out. The edits of the proposal are ignored. Errors: InvalidSetting where the
    /// store is not behind, CallError.
    Result<StoredChange> raiseVersion(const SettingsTree& held, const ProposedChange&, SystemTime now);

private:
    Result<std::optional<AcceptedChange>> findAccepted(const ChangeId&);
    Result<std::optional<StoredChange>> earlier(const SettingsTree& held, const ProposedChange&);
    Result<std::optional<StoredChange>> commit(const SettingsTree& held, const ProposedChange&, SystemTime now, bool& mayHaveCommitted);
    detail::AcceptTry tryOnce(const SettingsTree& held, const ProposedChange&, SystemTime now);
    Result<SettingsTree> readSnapshot();
    std::vector<TableWrite> changeWrites(const AcceptedChange&, SettingsVersion head) const;
    Result<void> writeSnapshot(const SettingsTree&);
    void pause(int tryNumber);
    TableKey key(std::string sort) const { return { .partition = m_options.partition, .sort = std::move(sort) }; }

    SettingsStoreOptions m_options;
};

} // namespace limpetpond
