#include "peer/SettingsTransfer.h"

namespace limpetpond {

namespace detail {

    namespace {

        boost::leaf::error_id malformed(std::string detail)
        {
            return boost::leaf::new_error(CallError { .failure = CallFailure::Malformed, .detail = std::move(detail) });
        }

        SettingsVersion versionOf(std::int64_t number)
        {
            return SettingsVersion(number > 0 ? static_cast<std::uint64_t>(number) : 0);
        }

    } // namespace

} // namespace detail

rpc::SettingsChange toThrift(const AcceptedChange& change)
{
    rpc::SettingsChange wire;
    wire.version = static_cast<std::int64_t>(change.version.value());
    wire.changeId = change.change.value();
    wire.author = change.author;
    wire.acceptedAtMs = change.acceptedAtMs;
    wire.body = editsToJson(change.edits);
    return wire;
}

Result<AcceptedChange> fromThrift(const rpc::SettingsChange& wire)
{
    Result<std::vector<SettingsEdit>> edits = editsFromJson(wire.body);
    if (!edits)
        return detail::malformed("a settings change can't be parsed");
    return AcceptedChange {
        .version = detail::versionOf(wire.version),
        .change = ChangeId(wire.changeId),
        .author = wire.author,
        .acceptedAtMs = wire.acceptedAtMs,
        .edits = std::move(*edits),
    };
}

rpc::SettingsUpdate makeSettingsUpdate(const SettingsHolder& holder, SettingsVersion after)
{
    rpc::SettingsUpdate update;
    std::shared_ptr<const SettingsTree> tree = holder.tree();
    update.currentVersion = static_cast<std::int64_t>(tree->version.value());
    std::optional<std::vector<AcceptedChange>> changes = holder.changesAfter(after);
    if (changes) {
        for (const AcceptedChange& change : *changes)
            update.changes.push_back(toThrift(change));
        return update;
    }
    rpc::SettingsSnapshot snapshot;
    snapshot.version = update.currentVersion;
    snapshot.tree = treeToJson(*tree);
    update.__set_snapshot(snapshot);
    return update;
}

Result<std::shared_ptr<const Settings>> applySettingsUpdate(SettingsHolder& holder, const rpc::SettingsUpdate& update)
{
    SettingsTree tree = *holder.tree();
    if (update.__isset.snapshot) {
        Result<SettingsTree> snapshot = treeFromJson(update.snapshot.tree);
        if (!snapshot || snapshot->version != detail::versionOf(update.snapshot.version))
            return detail::malformed("the settings snapshot can't be parsed or has another version");
        if (snapshot->version > tree.version)
            tree = std::move(*snapshot);
    }
    std::vector<AcceptedChange> applied;
    for (const rpc::SettingsChange& wire : update.changes) {
        BOOST_LEAF_AUTO(change, fromThrift(wire));
        if (change.version <= tree.version)
            continue;
        if (change.version.value() != tree.version.value() + 1)
            return detail::malformed("a settings change is missing after version " + std::to_string(tree.version.value()));
        tree = replayChange(tree, change);
        applied.push_back(std::move(change));
    }
    return holder.adopt(std::move(tree), std::move(applied));
}

} // namespace limpetpond
