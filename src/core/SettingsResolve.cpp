#include "core/SettingsTree.h"

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <set>
#include <tuple>

namespace limpetpond {

namespace detail {

    namespace {

        namespace json = boost::json;

        boost::leaf::error_id invalidAt(const std::string& path, std::string_view field, std::string value, std::string allowed)
        {
            return boost::leaf::new_error(InvalidSetting { .name = path + " " + std::string(field), .value = std::move(value), .allowed = std::move(allowed) });
        }

        const Branch* findBranch(const SettingsTree& tree, const std::string& path)
        {
            auto found = tree.branches.find(path);
            return found == tree.branches.end() ? nullptr : &found->second;
        }

        const StoredValue* ownValue(const Branch* branch, std::string_view field)
        {
            if (!branch)
                return nullptr;
            auto found = branch->fields.find(std::string(field));
            return found == branch->fields.end() ? nullptr : &found->second;
        }

        std::string textOf(const StoredValue* stored)
        {
            const json::string* text = stored ? stored->value.if_string() : nullptr;
            return text ? std::string(*text) : std::string();
        }

        /// One branch of an inheritance chain.
        struct ChainLink {
            std::string path;
            BranchKind kind;
            const Branch* branch;
        };

        /// The inheritance chain of a branch, from narrow to broad, starting with the branch itself.
        std::vector<ChainLink> chainOf(const SettingsTree& tree, const std::string& path, BranchKind kind)
        {
            std::vector<ChainLink> chain { { path, kind, findBranch(tree, path) } };
            if (kind == BranchKind::Target) {
                std::string pool = branchPath(BranchKind::Pool, textOf(ownValue(chain.front().branch, "pool")));
                chain.push_back({ pool, BranchKind::Pool, findBranch(tree, pool) });
            }
            if (kind == BranchKind::Target || kind == BranchKind::Pool || kind == BranchKind::Account)
                chain.push_back({ "site", BranchKind::Site, findBranch(tree, "site") });
            return chain;
        }

        struct Found {
            const ChainLink* link { nullptr };
            const StoredValue* stored { nullptr };
        };

        Found findInChain(const std::vector<ChainLink>& chain, std::string_view field)
        {
            for (const ChainLink& link : chain) {
                if (const StoredValue* stored = ownValue(link.branch, field))
                    return { &link, stored };
            }
            return {};
        }

        /// Reads the effective values of one branch into plain fields; a field without a value keeps its default.
        class FieldReader {
        public:
            FieldReader(const SettingsTree& tree, const std::string& path, BranchKind kind)
                : m_chain(chainOf(tree, path, kind))
            {
            }

            const StoredValue* stored(std::string_view field) const { return findInChain(m_chain, field).stored; }

            std::string text(std::string_view field) const { return textOf(stored(field)); }

            void read(std::string_view field, std::string& out) const
            {
                if (stored(field))
                    out = text(field);
            }

            void read(std::string_view field, bool& out) const
            {
                if (const StoredValue* found = stored(field); found && found->value.is_bool())
                    out = found->value.get_bool();
            }

            void read(std::string_view field, int& out) const
            {
                readNumber(field, FieldType::Count, [&](double n) { out = static_cast<int>(n); });
            }
            void read(std::string_view field, double& out) const
            {
                readNumber(field, FieldType::Share, [&](double n) { out = n; });
            }
            void read(std::string_view field, TokenCount& out) const
            {
                readNumber(field, FieldType::Tokens, [&](double n) { out = TokenCount(static_cast<std::int64_t>(n)); });
            }
            void read(std::string_view field, ByteCount& out) const
            {
                readNumber(field, FieldType::Bytes, [&](double n) { out = ByteCount(static_cast<std::int64_t>(n)); });
            }
            void read(std::string_view field, TokenRate& out) const
            {
                readNumber(field, FieldType::Rate, [&](double n) { out.perSecond = n; });
            }

            template <typename Period>
            void read(std::string_view field, std::chrono::duration<std::int64_t, Period>& out) const
            {
                readNumber(field, FieldType::Duration, [&](double n) { out = std::chrono::duration_cast<std::chrono::duration<std::int64_t, Period>>(std::chrono::milliseconds(static_cast<std::int64_t>(n))); });
            }

            std::vector<std::string> list(std::string_view field) const
            {
                std::vector<std::string> items;
                const StoredValue* found = stored(field);
                const json::array* array = found ? found->value.if_array() : nullptr;
                if (!array)
                    return items;
                for (const json::value& item : *array) {
                    if (item.is_string())
                        items.emplace_back(item.get_string());
                }
                return items;
            }

        private:
            template <typename Assign>
            void readNumber(std::string_view field, FieldType type, Assign assign) const
            {
                const StoredValue* found = stored(field);
                std::optional<double> number = found ? toBaseUnits(type, found->value) : std::nullopt;
                if (number)
                    assign(*number);
            }

            std::vector<ChainLink> m_chain;
        };

        template <typename Visit>
        void forEachBranch(const SettingsTree& tree, BranchKind kind, Visit visit)
        {
            std::string prefix = branchPath(kind, "");
            for (auto branch = tree.branches.lower_bound(prefix); branch != tree.branches.end() && branch->first.starts_with(prefix); ++branch)
                visit(branch->first, branch->first.substr(prefix.size()), branch->second);
        }

        SiteSettings resolveSite(const SettingsTree& tree)
        {
            SiteSettings site;
            FieldReader reader(tree, "site", BranchKind::Site);
            reader.read("name", site.name);
            reader.read("viewAgeLimit", site.viewAgeLimit);
            reader.read("heartbeatPeriod", site.heartbeatPeriod);
            reader.read("suspectAfter", site.suspectAfter);
            reader.read("headReadPeriod", site.headReadPeriod);
            reader.read("claimRetention", site.claimRetention);
            reader.read("maxBody", site.maxBody);
            reader.read("maxStoredAnswer", site.maxStoredAnswer);
            return site;
        }

        std::vector<TierSettings> resolveTiers(const SettingsTree& tree)
        {
            std::vector<TierSettings> tiers;
            forEachBranch(tree, BranchKind::Tier, [&](const std::string& path, const std::string& name, const Branch&) {
                int level = 0;
                FieldReader(tree, path, BranchKind::Tier).read("level", level);
                tiers.push_back({ .name = name, .level = TierLevel { static_cast<std::uint32_t>(level) } });
            });
            std::ranges::sort(tiers, [](const TierSettings& a, const TierSettings& b) { return a.level < b.level; });
            return tiers;
        }

        TargetKind kindFromText(const std::string& text)
        {
            return text == "plain_service" ? TargetKind::PlainService : TargetKind::ModelEngine;
        }

        PoolSettings resolvePool(const SettingsTree& tree, const std::string& path, const std::string& name)
        {
            PoolSettings pool { .id = PoolId(name) };
            FieldReader reader(tree, path, BranchKind::Pool);
            pool.kind = kindFromText(reader.text("kind"));
            for (std::string& model : reader.list("models"))
                pool.models.emplace_back(std::move(model));
            if (pool.models.empty() && pool.kind == TargetKind::ModelEngine)
                pool.models.emplace_back(name);
            if (pool.kind == TargetKind::PlainService)
                pool.service = name;
            reader.read("service", pool.service);
            reader.read("maxWaiting", pool.maxWaiting);
            reader.read("maxWait", pool.maxWait);
            reader.read("callTimeout", pool.callTimeout);
            reader.read("maxDispatches", pool.maxDispatches);
            reader.read("retryBudget", pool.retryBudget);
            reader.read("policy", pool.policy);
            reader.read("maxLeavingShare", pool.maxLeavingShare);
            pool.nonIdempotentMethods = reader.list("nonIdempotentMethods");
            pool.nonIdempotentPaths = reader.list("nonIdempotentPaths");
            return pool;
        }

        unsigned weekdayFromText(const std::string& text)
        {
            const FieldSchema* field = findField(BranchKind::Window, "day");
            auto found = std::ranges::find(field->choices, std::string_view(text));
            return found == field->choices.end() ? 0 : static_cast<unsigned>(found - field->choices.begin());
        }

        std::optional<CleaningWindow> resolveWindow(const SettingsTree& tree, const std::string& name)
        {
            std::string path = branchPath(BranchKind::Window, name);
            if (name.empty() || name == "none" || !findBranch(tree, path))
                return std::nullopt;
            CleaningWindow window { .name = name };
            FieldReader reader(tree, path, BranchKind::Window);
            reader.read("timeZone", window.timeZone);
            reader.read("length", window.length);
            window.day = std::chrono::weekday(weekdayFromText(reader.text("day")));
            const StoredValue* start = reader.stored("start");
            std::optional<double> minutes = start ? toBaseUnits(FieldType::TimeOfDay, start->value) : std::nullopt;
            if (minutes)
                window.startOfDay = std::chrono::minutes(static_cast<int>(*minutes));
            return window;
        }

        void resolveMark(const FieldReader& reader, const Branch& branch, TargetSettings& target)
        {
            const StoredValue* mark = reader.stored("mark");
            target.branchVersion = branch.version;
            target.markVersion = mark ? mark->version : branch.version;
            target.markedForCleaning = textOf(mark) == "cleaning";
            if (target.markedForCleaning || textOf(mark) == "leaving")
                target.mark = TargetMark::Leaving;
        }

        std::optional<EngineDesiredState> resolveDesiredState(const FieldReader& reader)
        {
            EngineDesiredState desired { .model = ModelId(reader.text("wantedModel")) };
            if (desired.model.value() == "none")
                return std::nullopt;
            desired.version = reader.text("wantedVersion");
            desired.adapters = reader.list("wantedAdapters");
            desired.role = reader.text("wantedRole");
            return desired;
        }

        TargetSettings resolveTarget(const SettingsTree& tree, const std::string& path, const std::string& name, const Branch& branch)
        {
            TargetSettings target { .id = TargetId(name) };
            FieldReader reader(tree, path, BranchKind::Target);
            target.pool = PoolId(reader.text("pool"));
            target.failureDomain = FailureDomainId(reader.text("failureDomain"));
            reader.read("host", target.host);
            reader.read("port", target.port);
            resolveMark(reader, branch, target);
            reader.read("maxTokensInProgress", target.maxTokensInProgress);
            reader.read("maxRequestsInProgress", target.maxRequestsInProgress);
            reader.read("prefillRate", target.prefillRate);
            reader.read("decodeRate", target.decodeRate);
            reader.read("cacheCapacity", target.cacheCapacity);
            reader.read("checksFencing", target.checksFencing);
            reader.read("checksKeys", target.checksKeys);
            reader.read("cleaningTime", target.cleaningTime);
            target.desired = resolveDesiredState(reader);
            target.cleaningWindow = resolveWindow(tree, reader.text("window"));
            return target;
        }

        ClientAccountSettings resolveAccount(const SettingsTree& tree, const std::string& path, const std::string& name)
        {
            ClientAccountSettings account { .id = ClientAccountId(name) };
            FieldReader reader(tree, path, BranchKind::Account);
            int level = 0;
            std::string tier = branchPath(BranchKind::Tier, reader.text("tier"));
            if (findBranch(tree, tier))
                FieldReader(tree, tier, BranchKind::Tier).read("level", level);
            account.tier = TierLevel { static_cast<std::uint32_t>(level) };
            reader.read("weight", account.weight);
            reader.read("accountMaxWaiting", account.maxWaiting);
            account.keyHashes = reader.list("keyHashes");
            return account;
        }

        Result<void> checkRequired(const SettingsTree& tree)
        {
            for (const auto& [path, branch] : tree.branches) {
                std::optional<BranchKind> kind = kindOfPath(path);
                if (!kind)
                    continue;
                for (const FieldSchema& field : settingsSchema()) {
                    bool missing = field.required && !branch.fields.contains(std::string(field.name));
                    if (missing && findField(*kind, field.name) == &field)
                        return invalidAt(path, field.name, "none", "must be set: " + allowedText(field));
                }
            }
            return {};
        }

        /// Checks that a field that references a branch references an existing one.
        Result<void> checkReferences(const SettingsTree& tree, std::string_view field, BranchKind referencedKind)
        {
            for (const auto& [path, branch] : tree.branches) {
                const StoredValue* stored = ownValue(&branch, field);
                std::string name = textOf(stored);
                if (!stored || (referencedKind == BranchKind::Window && name == "none"))
                    continue;
                if (!findBranch(tree, branchPath(referencedKind, name)))
                    return invalidAt(path, field, name, "a " + std::string(toString(referencedKind)) + " that exists");
            }
            return {};
        }

        Result<void> checkTierLevels(const SettingsTree& tree)
        {
            std::vector<TierSettings> tiers = resolveTiers(tree);
            for (std::size_t i = 1; i < tiers.size(); ++i) {
                if (tiers[i].level == tiers[i - 1].level)
                    return invalidAt(branchPath(BranchKind::Tier, tiers[i].name), "level", std::to_string(tiers[i].level.level), "a level that no other tier has; tier " + tiers[i - 1].name + " has it");
            }
            return {};
        }

        Result<void> checkSiteDurations(const SiteSettings& site)
        {
            auto text = [](std::chrono::milliseconds time) { return std::to_string(time.count()) + "ms"; };
            if (site.viewAgeLimit < 2 * site.headReadPeriod)
                return invalidAt("site", "viewAgeLimit", text(site.viewAgeLimit), "at least twice headReadPeriod, " + text(2 * site.headReadPeriod));
            if (site.viewAgeLimit < 2 * site.heartbeatPeriod)
                return invalidAt("site", "viewAgeLimit", text(site.viewAgeLimit), "at least twice heartbeatPeriod, " + text(2 * site.heartbeatPeriod));
            if (site.suspectAfter < 2 * site.heartbeatPeriod)
                return invalidAt("site", "suspectAfter", text(site.suspectAfter), "at least twice heartbeatPeriod, " + text(2 * site.heartbeatPeriod));
            return {};
        }

        Result<void> checkPools(const Settings& settings)
        {
            std::map<ModelId, PoolId> models;
            std::map<std::string, PoolId> services;
            for (const auto& [id, pool] : settings.pools) {
                std::string path = branchPath(BranchKind::Pool, id.value());
                if (pool.maxWait < settings.site.suspectAfter)
                    return invalidAt(path, "maxWait", std::to_string(pool.maxWait.count()) + "ms", "at least the site's suspectAfter, " + std::to_string(settings.site.suspectAfter.count()) + "ms, in which the floor of a tier is confirmed");
                for (const ModelId& model : pool.models) {
                    auto [other, added] = models.emplace(model, id);
                    if (!added)
                        return invalidAt(path, "models", model.value(), "a model that no other pool serves; pool " + other->second.value() + " does");
                }
                if (pool.kind == TargetKind::ModelEngine)
                    continue;
                auto [other, added] = services.emplace(pool.service, id);
                if (!added)
                    return invalidAt(path, "service", pool.service, "a service that no other pool serves; pool " + other->second.value() + " does");
            }
            return {};
        }

        Result<void> checkTargets(const Settings& settings)
        {
            std::map<std::pair<std::string, int>, TargetId> addresses;
            for (const auto& [id, target] : settings.targets) {
                auto [other, added] = addresses.emplace(std::pair(target.host, target.port), id);
                if (!added)
                    return invalidAt(branchPath(BranchKind::Target, id.value()), "port", target.host + ":" + std::to_string(target.port), "an address that no other target has; target " + other->second.value() + " has it");
            }
            return {};
        }

        Result<void> checkAccounts(const Settings& settings)
        {
            std::map<std::string, ClientAccountId> hashes;
            for (const auto& [id, account] : settings.accounts) {
                for (const std::string& hash : account.keyHashes) {
                    auto [other, added] = hashes.emplace(hash, id);
                    if (!added)
                        return invalidAt(branchPath(BranchKind::Account, id.value()), "keyHashes", hash, "a key that no other account has; account " + other->second.value() + " has it");
                }
            }
            return {};
        }

        ExplainedField explainField(const std::vector<ChainLink>& chain, const FieldSchema& field)
        {
            ExplainedField explained { .path = chain.front().path, .field = std::string(field.name) };
            Found found = findInChain(chain, field.name);
            if (!found.stored) {
                if (!field.defaultValue.empty())
                    explained.value = json::parse(json::string_view(field.defaultValue.data(), field.defaultValue.size()));
                return explained;
            }
            explained.value = found.stored->value;
            explained.inheritedFrom = found.link->path;
            explained.version = found.stored->version;
            explained.author = found.stored->author;
            explained.acceptedAtMs = found.stored->acceptedAtMs;
            return explained;
        }

        void explainBranch(const SettingsTree& tree, const std::string& path, std::vector<ExplainedField>& out)
        {
            std::optional<BranchKind> kind = kindOfPath(path);
            if (!kind)
                return;
            std::vector<ChainLink> chain = chainOf(tree, path, *kind);
            for (const FieldSchema& field : settingsSchema()) {
                if (findField(*kind, field.name) == &field)
                    out.push_back(explainField(chain, field));
            }
        }

        std::vector<ExplainedField> explainAll(const SettingsTree& tree)
        {
            std::vector<ExplainedField> all;
            if (!tree.branches.contains("site"))
                explainBranch(tree, "site", all);
            for (const auto& [path, branch] : tree.branches)
                explainBranch(tree, path, all);
            return all;
        }

        using FieldMap = std::map<std::pair<std::string, std::string>, ExplainedField>;

        FieldMap valuesByField(const SettingsTree& tree)
        {
            FieldMap values;
            for (ExplainedField& field : explainAll(tree))
                values.emplace(std::pair(field.path, field.field), std::move(field));
            return values;
        }

        /// Whether the branch sets the value itself. For an added or removed branch, only these values are reported.
        bool isOwn(const ExplainedField& field) { return field.inheritedFrom == field.path; }

    } // namespace

} // namespace detail

Result<void> checkTree(const SettingsTree& tree)
{
    BOOST_LEAF_CHECK(detail::checkRequired(tree));
    BOOST_LEAF_CHECK(detail::checkReferences(tree, "pool", BranchKind::Pool));
    BOOST_LEAF_CHECK(detail::checkReferences(tree, "tier", BranchKind::Tier));
    BOOST_LEAF_CHECK(detail::checkReferences(tree, "window", BranchKind::Window));
    BOOST_LEAF_CHECK(detail::checkTierLevels(tree));
    Settings settings = resolve(tree);
    BOOST_LEAF_CHECK(detail::checkSiteDurations(settings.site));
    BOOST_LEAF_CHECK(detail::checkPools(settings));
    BOOST_LEAF_CHECK(detail::checkTargets(settings));
    return detail::checkAccounts(settings);
}

Settings resolve(const SettingsTree& tree)
{
    Settings settings { .version = tree.version, .site = detail::resolveSite(tree) };
    settings.tiers = detail::resolveTiers(tree);
    detail::forEachBranch(tree, BranchKind::Pool, [&](const std::string& path, const std::string& name, const Branch&) {
        settings.pools.emplace(PoolId(name), detail::resolvePool(tree, path, name));
    });
    detail::forEachBranch(tree, BranchKind::Target, [&](const std::string& path, const std::string& name, const Branch& branch) {
        TargetSettings target = detail::resolveTarget(tree, path, name, branch);
        auto pool = settings.pools.find(target.pool);
        if (pool != settings.pools.end()) {
            target.kind = pool->second.kind;
            pool->second.targets.push_back(target.id);
        }
        settings.targets.emplace(target.id, std::move(target));
    });
    detail::forEachBranch(tree, BranchKind::Account, [&](const std::string& path, const std::string& name, const Branch&) {
        settings.accounts.emplace(ClientAccountId(name), detail::resolveAccount(tree, path, name));
    });
    return settings;
}

Result<std::vector<ExplainedField>> explain(const SettingsTree& tree, const std::string& path)
{
    if (path.empty())
        return detail::explainAll(tree);
    if (path != "site" && !tree.branches.contains(path))
        return boost::leaf::new_error(InvalidSetting { .name = path, .value = "", .allowed = "a branch that exists" });
    std::vector<ExplainedField> fields;
    detail::explainBranch(tree, path, fields);
    return fields;
}

std::vector<SettingsEffect> effects(const SettingsTree& before, const SettingsTree& after)
{
    detail::FieldMap old = detail::valuesByField(before);
    std::vector<SettingsEffect> list;
    for (const auto& [key, field] : detail::valuesByField(after)) {
        auto previous = old.find(key);
        if (previous == old.end()) {
            if (detail::isOwn(field))
                list.push_back({ .path = field.path, .field = field.field, .after = field.value });
            continue;
        }
        if (previous->second.value != field.value)
            list.push_back({ .path = field.path, .field = field.field, .before = previous->second.value, .after = field.value });
        old.erase(previous);
    }
    for (const auto& [key, field] : old) {
        if (detail::isOwn(field))
            list.push_back({ .path = field.path, .field = field.field, .before = field.value });
    }
    std::ranges::sort(list, {}, [](const SettingsEffect& effect) { return std::tie(effect.path, effect.field); });
    return list;
}

} // namespace limpetpond
