#include "operator/OperatorHandler.h"

#include "base/Hash.h"
#include "peer/SettingsTransfer.h"
#include <algorithm>
#include <boost/json/parse.hpp>
#include <thread>

namespace limpetpond {

namespace detail {

    namespace {

        constexpr std::size_t maxHistory = 1'000;

        rpc::OperatorRefused refusal(std::string code, std::string detail, std::string path = {})
        {
            rpc::OperatorRefused refused;
            refused.code = std::move(code);
            refused.detail = std::move(detail);
            refused.path = std::move(path);
            return refused;
        }

        std::int64_t numberOf(SettingsVersion version)
        {
            return static_cast<std::int64_t>(version.value());
        }

        SettingsVersion versionOf(std::int64_t number)
        {
            return SettingsVersion(static_cast<std::uint64_t>(std::max<std::int64_t>(number, 0)));
        }

        rpc::OperatorRefused refusalOf(const InvalidSetting& invalid)
        {
            return refusal("invalid_setting", invalid.name + ": " + (invalid.value.empty() ? "" : invalid.value + " ") + "is refused; allowed is " + invalid.allowed, invalid.name.substr(0, invalid.name.find(' ')));
        }

        rpc::OperatorRefused refusalOf(const SettingsConflict& conflict)
        {
            rpc::OperatorRefused refused = refusal("conflict", conflict.path + " was changed by another operator: read at version " + std::to_string(conflict.readVersion.value()) + ", now at " + std::to_string(conflict.currentVersion.value()) + "; refused " + conflict.refusedValue, conflict.path);
            refused.readVersion = numberOf(conflict.readVersion);
            refused.currentVersion = numberOf(conflict.currentVersion);
            refused.currentValue = conflict.currentValue;
            return refused;
        }

        rpc::OperatorRefused refusalOf(const StoreRolledBack& rolledBack)
        {
            rpc::OperatorRefused refused = refusal("store_went_back", "the table service is at version " + std::to_string(rolledBack.storeVersion.value()) + ", below version " + std::to_string(rolledBack.heldVersion.value()) + " that is in force; see docs/OPERATIONS.md");
            refused.readVersion = numberOf(rolledBack.storeVersion);
            refused.currentVersion = numberOf(rolledBack.heldVersion);
            return refused;
        }

        rpc::OperatorRefused refusalOf(const UnknownOutcome& unknown)
        {
            return refusal("unknown_outcome", "the table service did not answer whether change " + unknown.change.value() + " was committed; send it again with the same change id");
        }

        rpc::OperatorRefused refusalOf(const CallError& error)
        {
            return refusal("store_unavailable", "the table service is unavailable: " + error.detail + "; nothing was changed");
        }

        /// Returns the value of a call, or throws its failure as a refusal.
        template <typename Call>
        auto valueOrThrow(Call call)
        {
            using Value = std::remove_cvref_t<decltype(call().value())>;
            std::optional<rpc::OperatorRefused> refused;
            std::optional<Value> value;
            auto setRefusal = [&](const auto& error) { refused = refusalOf(error); };
            boost::leaf::try_handle_all(
                [&]() -> Result<void> {
                    BOOST_LEAF_AUTO(result, call());
                    value = std::move(result);
                    return {};
                },
                [&](const InvalidSetting& error) { setRefusal(error); },
                [&](const SettingsConflict& error) { setRefusal(error); },
                [&](const StoreRolledBack& error) { setRefusal(error); },
                [&](const UnknownOutcome& error) { setRefusal(error); },
                [&](const CallError& error) { setRefusal(error); },
                [&] { refused = refusal("store_unavailable", "the call failed for an unknown reason"); });
            if (refused)
                throw *refused;
            return std::move(*value);
        }

        Result<std::vector<SettingsEdit>> editsFromThrift(const std::vector<rpc::Edit>& wires)
        {
            std::vector<SettingsEdit> edits;
            for (const rpc::Edit& wire : wires) {
                SettingsEdit edit { .path = wire.path, .field = wire.field };
                if (!wire.value.empty()) {
                    boost::json::error_code error;
                    edit.value = boost::json::parse(wire.value, error);
                    if (error)
                        return boost::leaf::new_error(InvalidSetting { .name = wire.path + " " + wire.field, .value = wire.value, .allowed = "a JSON value" });
                }
                if (wire.readVersion >= 0)
                    edit.readVersion = versionOf(wire.readVersion);
                edits.push_back(std::move(edit));
            }
            return edits;
        }

        std::string textOrEmpty(const std::optional<boost::json::value>& value)
        {
            return value ? valueToJson(*value) : std::string();
        }

        std::vector<rpc::ChangeEffect> effectsBetween(const SettingsTree& before, const SettingsTree& after)
        {
            std::vector<rpc::ChangeEffect> wires;
            for (const SettingsEffect& effect : effects(before, after)) {
                rpc::ChangeEffect wire;
                wire.path = effect.path;
                wire.field = effect.field;
                wire.before = textOrEmpty(effect.before);
                wire.after = textOrEmpty(effect.after);
                wires.push_back(std::move(wire));
            }
            return wires;
        }

        SettingsTree subtreeOf(const SettingsTree& tree, const std::string& path)
        {
            if (path.empty())
                return tree;
            SettingsTree part { .version = tree.version };
            for (const auto& [name, branch] : tree.branches) {
                if (name == path || name.starts_with(path + "/"))
                    part.branches.emplace(name, branch);
            }
            return part;
        }

        rpc::TimelineEvent toThrift(const RecordedEntry& recorded, const std::string& process)
        {
            rpc::TimelineEvent event;
            event.sequence = static_cast<std::int64_t>(recorded.sequence);
            event.systemMicros = recorded.systemMicros;
            event.logicalTime = static_cast<std::int64_t>(recorded.logicalTime);
            event.process = process;
            event.kind = recorded.entry.kind;
            event.request = recorded.entry.request.value();
            event.target = recorded.entry.target.value();
            for (const TimelineField& field : recorded.entry.fields)
                event.fields[field.name] = field.value;
            if (!recorded.entry.attempt.isEmpty())
                event.fields["attempt"] = recorded.entry.attempt.value();
            return event;
        }

        std::string drainDetail(const DrainStatus& drain, SteadyTime now)
        {
            if (drain.state == DrainState::Serving)
                return "serving";
            if (drain.state == DrainState::Empty)
                return "every instance confirmed the mark and has nothing in progress";
            if (!drain.notConfirmed.empty())
                return "waits for " + std::to_string(drain.notConfirmed.size()) + " instances to confirm and finish";
            if (drain.unreachableWorkUntil)
                return "waits " + std::to_string(std::chrono::duration_cast<std::chrono::seconds>(std::max(*drain.unreachableWorkUntil - now, Duration(0))).count()) + " s for an instance that is no longer heard";
            return "waits for a majority of the listed instances to hold the mark";
        }

        class OperatorHandler final : public rpc::OperatorServiceIf {
        public:
            explicit OperatorHandler(OperatorHandlerOptions options)
                : m_options(std::move(options))
            {
            }

            void getTree(std::string& out, const std::string& secret, const std::string& path) override
            {
                authorize(secret);
                SettingsTree part = subtreeOf(*m_options.holder->tree(), path);
                bool isUnknown = !path.empty() && part.branches.empty() && path != "site";
                if (isUnknown)
                    throw refusal("not_found", "there is no branch " + path, path);
                out = treeToJson(part);
            }

            void change(rpc::ChangeReply& out, const std::string& secret, const rpc::ChangeRequest& request) override
            {
                authorize(secret);
                std::vector<SettingsEdit> edits = valueOrThrow([&] { return editsFromThrift(request.edits); });
                std::shared_ptr<const SettingsTree> held = m_options.holder->tree();
                if (request.dryRun) {
                    out.effects = dryRun(*held, edits);
                    return;
                }
                std::shared_ptr<const ControlStatus> status = currentStatus();
                if (!status->reachesMajority)
                    throw refusal("cut_off", "this instance does not reach a majority of the listed instances and accepts no changes; use another instance");
                StoredChange stored = accept({ .change = ChangeId(request.changeId), .author = request.author, .edits = edits });
                m_options.postSettings(m_options.holder->settings());
                awaitMajority(stored.change);
                out.version = numberOf(stored.change.version);
                out.effects = effectsBetween(*held, stored.newest.tree);
            }

            void raiseStore(rpc::ChangeReply& out, const std::string& secret, const std::string& changeId, const std::string& author) override
            {
                authorize(secret);
                std::shared_ptr<const ControlStatus> status = currentStatus();
                std::shared_ptr<const SettingsTree> held = m_options.holder->tree();
                bool hasNewest = status->reachesMajority && status->majorityVersion >= held->version && status->highestKnown <= held->version;
                if (!hasNewest)
                    throw refusal("cut_off", "this instance can't confirm that it holds the newest settings; use another instance");
                ProposedChange proposed { .change = ChangeId(changeId), .author = author };
                StoredChange stored = valueOrThrow([&] { return m_options.store->raiseVersion(*held, proposed, m_options.clock->systemNow()); });
                m_options.postSettings(m_options.holder->adopt(stored.newest.tree, stored.newest.changes));
                awaitMajority(stored.change);
                out.version = numberOf(stored.change.version);
            }

            void explain(std::vector<rpc::ExplainedValue>& out, const std::string& secret, const std::string& path) override
            {
                authorize(secret);
                std::shared_ptr<const SettingsTree> tree = m_options.holder->tree();
                if (!path.empty() && path != "site" && !tree->branches.contains(path))
                    throw refusal("not_found", "there is no branch " + path, path);
                for (const ExplainedField& field : valueOrThrow([&] { return limpetpond::explain(*tree, path); })) {
                    rpc::ExplainedValue wire;
                    wire.path = field.path;
                    wire.field = field.field;
                    wire.value = valueToJson(field.value);
                    wire.inheritedFrom = field.inheritedFrom;
                    wire.version = numberOf(field.version);
                    wire.author = field.author;
                    wire.acceptedAtMs = field.acceptedAtMs;
                    out.push_back(std::move(wire));
                }
            }

            void history(std::vector<rpc::SettingsChange>& out, const std::string& secret, std::int64_t afterVersion) override
            {
                authorize(secret);
                std::optional<std::vector<AcceptedChange>> changes = m_options.holder->changesAfter(versionOf(afterVersion));
                if (!changes)
                    changes = valueOrThrow([&] { return m_options.store->changesAfter(versionOf(afterVersion)); });
                for (const AcceptedChange& change : *changes) {
                    if (out.size() == maxHistory)
                        return;
                    out.push_back(limpetpond::toThrift(change));
                }
            }

            void targetStatus(rpc::TargetStatus& out, const std::string& secret, const std::string& target) override
            {
                authorize(secret);
                std::shared_ptr<const ControlStatus> status = currentStatus();
                auto found = std::ranges::find(status->targets, TargetId(target), &TargetControlStatus::target);
                if (found == status->targets.end())
                    throw refusal("not_found", "there is no target " + target, branchPath(BranchKind::Target, target));
                out.target = target;
                out.pool = found->pool.value();
                out.mark = toString(found->drain.state);
                out.tokensInProgress = found->drain.tokensInProgress.count();
                out.requestsInProgress = found->drain.requestsInProgress;
                for (const InstanceId& instance : found->drain.notConfirmed)
                    out.notConfirmed.push_back(instance.value());
                out.detail = drainDetail(found->drain, m_options.clock->steadyNow());
            }

            void status(std::string& out, const std::string& secret) override
            {
                authorize(secret);
                out = statusAsJson(*currentStatus(), m_options.processSettings, m_options.clock->steadyNow());
            }

            void timeline(std::vector<rpc::TimelineEvent>& out, const std::string& secret, std::int64_t afterSequence, const std::string& request) override
            {
                authorize(secret);
                for (const RecordedEntry& entry : m_options.timeline(static_cast<std::uint64_t>(std::max<std::int64_t>(afterSequence, 0)), RequestId(request)))
                    out.push_back(toThrift(entry, m_options.process));
            }

        private:
            void authorize(const std::string& given) const
            {
                if (!m_options.secret.isSet() || !constantTimeEquals(given, m_options.secret.reveal()))
                    throw refusal("unauthorized", "the operator secret is wrong or not set");
            }

            std::shared_ptr<const ControlStatus> currentStatus() const
            {
                std::shared_ptr<const ControlStatus> status = m_options.status();
                return status ? status : std::make_shared<const ControlStatus>();
            }

            std::vector<rpc::ChangeEffect> dryRun(const SettingsTree& held, const std::vector<SettingsEdit>& edits) const
            {
                AcceptedChange change { .version = SettingsVersion(held.version.value() + 1), .edits = edits };
                SettingsTree next = valueOrThrow([&] { return applyChange(held, change); });
                return effectsBetween(held, next);
            }

            StoredChange accept(const ProposedChange& proposed) const
            {
                try {
                    return valueOrThrow([&] { return acceptAndAdopt(*m_options.holder, *m_options.store, proposed, m_options.clock->systemNow()); });
                } catch (const rpc::OperatorRefused& refused) {
                    if (refused.code == "store_went_back")
                        m_options.raiseAlarm(AlarmKind::SettingsRolledBack, refused.detail);
                    throw;
                }
            }

            /// Waits until a majority holds the change, so that every instance that may dispatch has it.
            void awaitMajority(const AcceptedChange& change) const
            {
                SteadyTime deadline = std::chrono::steady_clock::now() + m_options.acceptTimeout;
                while (currentStatus()->majorityVersion < change.version) {
                    if (std::chrono::steady_clock::now() >= deadline)
                        throw refusal("unknown_outcome", "change " + change.change.value() + " was committed as version " + std::to_string(change.version.value()) + " but a majority of the instances has not confirmed it yet; send it again with the same change id");
                    std::this_thread::sleep_for(m_options.pollPeriod);
                }
            }

            OperatorHandlerOptions m_options;
        };

    } // namespace

} // namespace detail

std::shared_ptr<rpc::OperatorServiceIf> makeOperatorHandler(OperatorHandlerOptions options)
{
    return std::make_shared<detail::OperatorHandler>(std::move(options));
}

std::shared_ptr<apache::thrift::TProcessor> makeOperatorProcessor(OperatorHandlerOptions options)
{
    return std::make_shared<rpc::OperatorServiceProcessor>(makeOperatorHandler(std::move(options)));
}

} // namespace limpetpond
