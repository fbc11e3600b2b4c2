#pragma once

/// The settings tree in the platform's table service.
///
/// One partition holds the version row (`head`), a row for each change (`change#VERSION`), a row
/// for each change id (`id#ID`) and a snapshot of the tree in pieces (`snapshot`, `snapshot#VERSION#N`).
/// A change is committed as one transaction on the first three kinds of row, under the condition that
/// the version row is unchanged and the change id is new.

#include "core/SettingsTree.h"
#include "limpetpond/Clock.h"
#include "store/TableClient.h"
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace limpetpond {

/// The operations of TableClient that the store uses; a test replaces them.
struct TableAccess {
    std::function<Result<std::optional<TableItem>>(const TableKey&)> get;
    std::function<Result<std::vector<TableItem>>(const TableQuery&)> query;
    std::function<Result<TransactionResult>(const std::vector<TableWrite>&)> transact;
};

/// The operations of a client, which must outlive the result.
///
///     SettingsStore store({ .table = tableAccess(client) });
TableAccess tableAccess(TableClient&);

/// The table service returned an older version than the one that is held, so it was restored to an older state.
struct StoreRolledBack {
    SettingsVersion storeVersion;
    SettingsVersion heldVersion;
};

/// A change may or may not have taken effect. Proposing it again with the same change id resolves this.
struct UnknownOutcome {
    ChangeId change;
};

/// A change that an operator or the cleaning schedule proposes.
struct ProposedChange {
    ChangeId change; ///< The same for every attempt at one change.
    std::string author;
    std::vector<SettingsEdit> edits;
};

/// The newest tree, and the changes since the tree that was held. Changes that only a snapshot covers are left out.
struct SettingsCatchUp {
    SettingsTree tree;
    std::vector<AcceptedChange> changes;
};

/// A change that was committed to the table service, and the newest tree.
struct StoredChange {
    SettingsCatchUp newest; ///< At `change.version` or later.
    AcceptedChange change;
    bool acceptedEarlier { false }; ///< An earlier attempt with the same change id was accepted.
};

namespace detail {

    /// The outcome of one attempt to commit a change.
    struct AcceptAttempt {
        std::optional<StoredChange> stored;
        std::variant<std::monostate, InvalidSetting, SettingsConflict, StoreRolledBack, CallError> failure; ///< None: another change was committed first.
        bool mayHaveCommitted { false };
    };

} // namespace detail

struct SettingsStoreOptions {
    TableAccess table;
    std::string partition { "settings" };
    int snapshotEvery { 32 }; ///< Changes between snapshots.
    std::size_t snapshotPieceBytes { 200'000 };
    int maxAttempts { 8 }; ///< Attempts at one change, repeated after races and lost answers.
    std::function<void(std::chrono::milliseconds)> sleep; ///< Waits between attempts. If null, the calling thread sleeps.
};

/// A thread-safe client of the settings rows.
///
///     Result<SettingsCatchUp> newest = store.catchUp({});
class SettingsStore {
public:
    explicit SettingsStore(SettingsStoreOptions);

    /// Reads the version row. Version 0 means that no change was accepted yet. Errors: CallError.
    Result<SettingsVersion> readHead();

    /// Reads the newest tree, starting from the tree that is held. Errors: CallError, StoreRolledBack, InvalidSetting for rows that can't be parsed.
    Result<SettingsCatchUp> catchUp(const SettingsTree& held);

    /// Reads the changes after a version, oldest first. Errors: CallError.
    Result<std::vector<AcceptedChange>> changesAfter(SettingsVersion);

    /// Commits a change on top of the newest tree, or finds that its change id was accepted before.
    /// An edit of a branch that no newer change touched is rebased over the newer changes.
    /// Errors: InvalidSetting, SettingsConflict, StoreRolledBack, UnknownOutcome, CallError when nothing took effect.
    Result<StoredChange> accept(const SettingsTree& held, const ProposedChange&, SystemTime now);

    /// Writes the held tree to a store that was restored to an older state, at a version well above every
    /// version that was assigned before. The edits of the proposal are ignored. Errors: InvalidSetting when the
    /// store is not behind the held tree, CallError.
    Result<StoredChange> raiseVersion(const SettingsTree& held, const ProposedChange&, SystemTime now);

private:
    Result<std::optional<AcceptedChange>> findAccepted(const ChangeId&);
    Result<std::optional<StoredChange>> findEarlierAcceptance(const SettingsTree& held, const ProposedChange&);
    Result<std::optional<StoredChange>> commit(const SettingsTree& held, const ProposedChange&, SystemTime now, bool& mayHaveCommitted);
    detail::AcceptAttempt attemptAccept(const SettingsTree& held, const ProposedChange&, SystemTime now);
    Result<SettingsTree> readSnapshot();
    std::vector<TableWrite> changeWrites(const AcceptedChange&, SettingsVersion head) const;
    Result<void> writeSnapshot(const SettingsTree&);
    void waitBeforeRetry(int attemptNumber);
    TableKey key(std::string sort) const { return { .partition = m_options.partition, .sort = std::move(sort) }; }

    SettingsStoreOptions m_options;
};

} // namespace limpetpond
