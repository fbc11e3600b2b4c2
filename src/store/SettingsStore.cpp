#include "store/SettingsStore.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <thread>

namespace limpetpond {

namespace detail {

    namespace {

        constexpr std::size_t maxEditsBytes = 300'000;
        // Skips versions that the table service may have assigned in the state that the restore discarded.
        constexpr std::uint64_t raisedVersionGap = 1'000;
        constexpr std::chrono::milliseconds firstRetryDelay { 20 };
        constexpr int maxRetryDelayDoublings = 5;

        const std::string headSort = "head";
        const std::string snapshotSort = "snapshot";

        /// Appends the number with leading zeros, so that the text order of sort keys is the order of the numbers.
        std::string appendPadded(std::string_view prefix, std::uint64_t number)
        {
            std::array<char, 32> digits {};
            std::snprintf(digits.data(), digits.size(), "%020llu", static_cast<unsigned long long>(number));
            return std::string(prefix) + digits.data();
        }

        std::string changeSort(SettingsVersion version) { return appendPadded("change#", version.value()); }
        std::string idSort(const ChangeId& id) { return "id#" + id.value(); }
        std::string pieceSort(SettingsVersion version, std::size_t piece) { return appendPadded(appendPadded("snapshot#", version.value()) + "#", piece); }

        SettingsVersion versionOf(const TableItem& item, std::string_view name = "version")
        {
            return SettingsVersion(static_cast<std::uint64_t>(std::max<std::int64_t>(numberOf(item, name), 0)));
        }

        TableAttribute number(std::string name, std::uint64_t value)
        {
            return { .name = std::move(name), .value = static_cast<std::int64_t>(value) };
        }

        TableAttribute text(std::string name, std::string value)
        {
            return { .name = std::move(name), .value = std::move(value) };
        }

        boost::leaf::error_id malformed(std::string detail)
        {
            return boost::leaf::new_error(CallError { .failure = CallFailure::Malformed, .detail = std::move(detail) });
        }

        Result<AcceptedChange> changeFromItem(const TableItem& item)
        {
            BOOST_LEAF_AUTO(edits, editsFromJson(textOf(item, "edits")));
            return AcceptedChange {
                .version = versionOf(item),
                .change = ChangeId(textOf(item, "changeId")),
                .author = textOf(item, "author"),
                .acceptedAtMs = numberOf(item, "acceptedAtMs"),
                .edits = std::move(edits),
            };
        }

        TableItem changeItem(const TableKey& key, const AcceptedChange& change)
        {
            return { .key = key, .attributes = {
                                     number("version", change.version.value()),
                                     text("changeId", change.change.value()),
                                     text("author", change.author),
                                     number("acceptedAtMs", static_cast<std::uint64_t>(change.acceptedAtMs)),
                                     text("edits", editsToJson(change.edits)),
                                 } };
        }

        /// Whether the changes run from `from` to at least `head` without a gap.
        bool reachesHead(SettingsVersion head, SettingsVersion from, const std::vector<AcceptedChange>& changes)
        {
            std::uint64_t version = from.value();
            for (const AcceptedChange& change : changes) {
                if (change.version.value() != ++version)
                    return false;
            }
            return version >= head.value();
        }

        SettingsCatchUp replayChanges(const SettingsTree& base, std::vector<AcceptedChange> changes)
        {
            SettingsCatchUp newest { .tree = base };
            for (const AcceptedChange& change : changes)
                newest.tree = replayChange(newest.tree, change);
            newest.changes = std::move(changes);
            return newest;
        }

        TableCondition rowAbsent() { return { .kind = TableConditionKind::RowAbsent }; }

        TableCondition versionIs(SettingsVersion version)
        {
            if (version.isNone())
                return rowAbsent();
            return { .kind = TableConditionKind::Equal, .attribute = "version", .value = static_cast<std::int64_t>(version.value()) };
        }

        AcceptedChange changeOf(const ProposedChange& proposed, SettingsVersion version, SystemTime now)
        {
            return {
                .version = version,
                .change = proposed.change,
                .author = proposed.author,
                .acceptedAtMs = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count(),
                .edits = proposed.edits,
            };
        }

        bool isValidChangeId(const ChangeId& id)
        {
            const std::string& value = id.value();
            return !value.empty() && value.size() <= 200 && std::ranges::all_of(value, [](unsigned char c) { return c > 0x20 && c < 0x7f; });
        }

        Result<void> checkProposal(const ProposedChange& proposed)
        {
            if (!isValidChangeId(proposed.change))
                return boost::leaf::new_error(InvalidSetting { .name = "change id", .value = proposed.change.value(), .allowed = "1 to 200 printable ASCII characters without spaces" });
            std::size_t size = editsToJson(proposed.edits).size();
            if (size > maxEditsBytes)
                return boost::leaf::new_error(InvalidSetting { .name = "edits", .value = std::to_string(size) + " bytes", .allowed = "at most " + std::to_string(maxEditsBytes) + " bytes in one change" });
            return {};
        }

        bool mayRetry(const AcceptAttempt& outcome, bool mayHaveCommitted)
        {
            if (const auto* error = std::get_if<CallError>(&outcome.failure))
                return mayHaveCommitted || error->failure == CallFailure::Throttled;
            return std::holds_alternative<std::monostate>(outcome.failure);
        }

        boost::leaf::error_id failureOf(const AcceptAttempt& outcome)
        {
            return std::visit([](const auto& error) { return boost::leaf::new_error(error); }, outcome.failure);
        }

        bool equalEdits(const std::vector<SettingsEdit>& a, const std::vector<SettingsEdit>& b)
        {
            return std::ranges::equal(a, b, [](const SettingsEdit& x, const SettingsEdit& y) { return x.path == y.path && x.field == y.field && x.value == y.value; });
        }

    } // namespace

} // namespace detail

TableAccess tableAccess(TableClient& client)
{
    return {
        .get = [&client](const TableKey& key) { return client.get(key); },
        .query = [&client](const TableQuery& query) { return client.query(query); },
        .transact = [&client](const std::vector<TableWrite>& writes) { return client.transact(writes); },
    };
}

SettingsStore::SettingsStore(SettingsStoreOptions options)
    : m_options(std::move(options))
{
}

Result<SettingsVersion> SettingsStore::readHead()
{
    BOOST_LEAF_AUTO(head, m_options.table.get(key(detail::headSort)));
    return head ? detail::versionOf(*head) : SettingsVersion();
}

Result<std::vector<AcceptedChange>> SettingsStore::changesAfter(SettingsVersion version)
{
    TableQuery query { .partition = m_options.partition, .firstSort = detail::changeSort(SettingsVersion(version.value() + 1)), .lastSort = detail::changeSort(SettingsVersion(~std::uint64_t { 0 })) };
    BOOST_LEAF_AUTO(items, m_options.table.query(query));
    std::vector<AcceptedChange> changes;
    for (const TableItem& item : items) {
        BOOST_LEAF_AUTO(change, detail::changeFromItem(item));
        changes.push_back(std::move(change));
    }
    return changes;
}

Result<SettingsTree> SettingsStore::readSnapshot()
{
    BOOST_LEAF_AUTO(pointer, m_options.table.get(key(detail::snapshotSort)));
    if (!pointer)
        return SettingsTree();
    SettingsVersion version = detail::versionOf(*pointer);
    TableQuery query { .partition = m_options.partition, .firstSort = detail::pieceSort(version, 0), .lastSort = detail::pieceSort(version, ~std::size_t { 0 }) };
    BOOST_LEAF_AUTO(pieces, m_options.table.query(query));
    if (static_cast<std::int64_t>(pieces.size()) != numberOf(*pointer, "pieces"))
        return detail::malformed("the settings snapshot lacks a piece");
    std::string json;
    for (const TableItem& piece : pieces)
        json += textOf(piece, "data");
    return treeFromJson(json);
}

Result<SettingsCatchUp> SettingsStore::catchUp(const SettingsTree& held)
{
    BOOST_LEAF_AUTO(head, readHead());
    if (head < held.version)
        return boost::leaf::new_error(StoreRolledBack { .storeVersion = head, .heldVersion = held.version });
    if (head == held.version)
        return SettingsCatchUp { .tree = held };
    bool isNear = head.value() - held.version.value() <= static_cast<std::uint64_t>(m_options.snapshotEvery);
    if (isNear) {
        BOOST_LEAF_AUTO(changes, changesAfter(held.version));
        if (detail::reachesHead(head, held.version, changes))
            return detail::replayChanges(held, std::move(changes));
    }
    BOOST_LEAF_AUTO(snapshot, readSnapshot());
    const SettingsTree& base = snapshot.version > held.version ? snapshot : held;
    BOOST_LEAF_AUTO(changes, changesAfter(base.version));
    if (!detail::reachesHead(head, base.version, changes))
        return detail::malformed("a settings change is missing after version " + std::to_string(base.version.value()));
    return detail::replayChanges(base, std::move(changes));
}

Result<std::optional<AcceptedChange>> SettingsStore::findAccepted(const ChangeId& id)
{
    BOOST_LEAF_AUTO(row, m_options.table.get(key(detail::idSort(id))));
    if (!row)
        return std::optional<AcceptedChange>();
    BOOST_LEAF_AUTO(item, m_options.table.get(key(detail::changeSort(detail::versionOf(*row)))));
    if (!item)
        return detail::malformed("the change that belongs to the change id is missing");
    BOOST_LEAF_AUTO(change, detail::changeFromItem(*item));
    return std::optional(std::move(change));
}

Result<std::optional<StoredChange>> SettingsStore::findEarlierAcceptance(const SettingsTree& held, const ProposedChange& proposed)
{
    BOOST_LEAF_AUTO(found, findAccepted(proposed.change));
    if (!found)
        return std::optional<StoredChange>();
    if (!detail::equalEdits(found->edits, proposed.edits))
        return boost::leaf::new_error(InvalidSetting { .name = "change id", .value = proposed.change.value(), .allowed = "an id that no other change has used; version " + std::to_string(found->version.value()) + " did" });
    BOOST_LEAF_AUTO(newest, catchUp(held));
    return std::optional(StoredChange { .newest = std::move(newest), .change = std::move(*found), .acceptedEarlier = true });
}

std::vector<TableWrite> SettingsStore::changeWrites(const AcceptedChange& change, SettingsVersion head) const
{
    TableAttribute version = detail::number("version", change.version.value());
    return {
        { .item = { .key = key(detail::headSort), .attributes = { version } }, .conditions = { detail::versionIs(head) } },
        { .item = detail::changeItem(key(detail::changeSort(change.version)), change), .conditions = { detail::rowAbsent() } },
        { .item = { .key = key(detail::idSort(change.change)), .attributes = { version } }, .conditions = { detail::rowAbsent() } },
    };
}

Result<std::optional<StoredChange>> SettingsStore::commit(const SettingsTree& held, const ProposedChange& proposed, SystemTime now, bool& mayHaveCommitted)
{
    BOOST_LEAF_AUTO(accepted, findEarlierAcceptance(held, proposed));
    if (accepted)
        return accepted;
    BOOST_LEAF_AUTO(newest, catchUp(held));
    AcceptedChange change = detail::changeOf(proposed, SettingsVersion(newest.tree.version.value() + 1), now);
    BOOST_LEAF_AUTO(next, applyChange(newest.tree, change));
    std::vector<TableWrite> writes = changeWrites(change, newest.tree.version);
    mayHaveCommitted = true;
    BOOST_LEAF_AUTO(result, m_options.table.transact(writes));
    mayHaveCommitted = false;
    if (!result.committed)
        return std::optional<StoredChange>();
    newest.tree = std::move(next);
    newest.changes.push_back(change);
    return std::optional(StoredChange { .newest = std::move(newest), .change = std::move(change) });
}

detail::AcceptAttempt SettingsStore::attemptAccept(const SettingsTree& held, const ProposedChange& proposed, SystemTime now)
{
    detail::AcceptAttempt result;
    auto fail = [&](const auto& error) {
        result.failure = error;
        return std::optional<StoredChange>();
    };
    auto noAnswer = [&] { return fail(CallError { .failure = CallFailure::NoAnswer, .detail = "unknown failure" }); };
    result.stored = boost::leaf::try_handle_all(
        [&] { return commit(held, proposed, now, result.mayHaveCommitted); },
        [&](const SettingsConflict& error) { return fail(error); },
        [&](const InvalidSetting& error) { return fail(error); },
        [&](const StoreRolledBack& error) { return fail(error); },
        [&](const CallError& error) {
            bool hadNoEffect = error.failure == CallFailure::NotSent || error.failure == CallFailure::Throttled || error.failure == CallFailure::Refused;
            result.mayHaveCommitted = result.mayHaveCommitted && !hadNoEffect;
            return fail(error);
        },
        noAnswer);
    bool isRefused = std::holds_alternative<SettingsConflict>(result.failure) || std::holds_alternative<InvalidSetting>(result.failure);
    if (!isRefused)
        return result;
    // The refusal may come from another attempt at the same change that was committed meanwhile.
    result.stored = boost::leaf::try_handle_all(
        [&] { return findEarlierAcceptance(held, proposed); },
        [&](const InvalidSetting& error) { return fail(error); },
        [&](const StoreRolledBack& error) { return fail(error); },
        [&](const CallError& error) { return fail(error); },
        noAnswer);
    return result;
}

Result<StoredChange> SettingsStore::accept(const SettingsTree& held, const ProposedChange& proposed, SystemTime now)
{
    BOOST_LEAF_CHECK(detail::checkProposal(proposed));
    // While this is true, an attempt whose answer was lost may have taken effect or may still do so.
    bool mayHaveCommitted = false;
    for (int i = 0; i < m_options.maxAttempts; ++i) {
        if (i)
            waitBeforeRetry(i);
        detail::AcceptAttempt outcome = attemptAccept(held, proposed, now);
        if (outcome.stored) {
            if (!outcome.stored->acceptedEarlier && outcome.stored->change.version.value() % static_cast<std::uint64_t>(m_options.snapshotEvery) == 0)
                (void)writeSnapshot(outcome.stored->newest.tree); // A failed snapshot is harmless: the changes alone give the tree.
            return std::move(*outcome.stored);
        }
        mayHaveCommitted = mayHaveCommitted || outcome.mayHaveCommitted;
        if (!detail::mayRetry(outcome, mayHaveCommitted))
            return detail::failureOf(outcome);
    }
    if (mayHaveCommitted)
        return boost::leaf::new_error(UnknownOutcome { .change = proposed.change });
    return boost::leaf::new_error(CallError { .failure = CallFailure::Throttled, .detail = "every attempt was throttled, or another change was committed first" });
}

Result<void> SettingsStore::writeSnapshot(const SettingsTree& tree)
{
    BOOST_LEAF_AUTO(pointer, m_options.table.get(key(detail::snapshotSort)));
    SettingsVersion current = pointer ? detail::versionOf(*pointer) : SettingsVersion();
    if (current >= tree.version)
        return {};
    std::string json = treeToJson(tree);
    std::size_t pieces = 0;
    for (std::size_t begin = 0; begin < json.size(); begin += m_options.snapshotPieceBytes) {
        TableItem piece { .key = key(detail::pieceSort(tree.version, pieces++)), .attributes = { detail::text("data", json.substr(begin, m_options.snapshotPieceBytes)) } };
        BOOST_LEAF_CHECK(m_options.table.transact({ { .item = std::move(piece) } }));
    }
    TableItem next { .key = key(detail::snapshotSort), .attributes = { detail::number("version", tree.version.value()), detail::number("pieces", pieces) } };
    BOOST_LEAF_AUTO(swapped, m_options.table.transact({ { .item = std::move(next), .conditions = { detail::versionIs(current) } } }));
    std::int64_t oldPieces = pointer && swapped.committed ? numberOf(*pointer, "pieces") : 0;
    for (std::int64_t piece = 0; piece < oldPieces; ++piece)
        BOOST_LEAF_CHECK(m_options.table.transact({ { .kind = TableWriteKind::Delete, .item = { .key = key(detail::pieceSort(current, piece)) } } }));
    return {};
}

Result<StoredChange> SettingsStore::raiseVersion(const SettingsTree& held, const ProposedChange& proposed, SystemTime now)
{
    BOOST_LEAF_CHECK(detail::checkProposal(proposed));
    BOOST_LEAF_AUTO(head, readHead());
    if (head >= held.version)
        return boost::leaf::new_error(InvalidSetting { .name = "store", .value = "version " + std::to_string(head.value()), .allowed = "a store below the version in force, " + std::to_string(held.version.value()) });
    StoredChange stored { .newest = { .tree = held } };
    stored.change = detail::changeOf(proposed, SettingsVersion(held.version.value() + detail::raisedVersionGap), now);
    stored.change.edits.clear();
    stored.newest.tree.version = stored.change.version;
    stored.newest.changes = { stored.change };
    BOOST_LEAF_CHECK(writeSnapshot(stored.newest.tree));
    BOOST_LEAF_AUTO(result, m_options.table.transact(changeWrites(stored.change, head)));
    if (!result.committed)
        return boost::leaf::new_error(CallError { .failure = CallFailure::Throttled, .detail = "the settings in the table service changed during the call" });
    return stored;
}

void SettingsStore::waitBeforeRetry(int attemptNumber)
{
    auto time = detail::firstRetryDelay * (1 << std::min(attemptNumber, detail::maxRetryDelayDoublings));
    if (m_options.sleep)
        m_options.sleep(time);
    else
        std::this_thread::sleep_for(time);
}

} // namespace limpetpond
