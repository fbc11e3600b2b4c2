#include "core/RouteIndex.h"

namespace limpetpond {

std::shared_ptr<const IndexedSettings> indexSettings(ServingSettings settings)
{
    auto indexed = std::make_shared<IndexedSettings>();
    indexed->settings = std::move(settings);
    const ServingSettings& source = indexed->settings;
    for (std::size_t i = 0; i < source.routes.size(); ++i)
        indexed->routesByHost[source.routes[i].host][source.routes[i].prefix] = i;
    for (std::size_t i = 0; i < source.accounts.size(); ++i) {
        for (const std::string& key : source.accounts[i].keys)
            indexed->accountsByKey[key] = i;
    }
    return indexed;
}

const RouteSettings* findRoute(const IndexedSettings& settings, std::string_view host, std::string_view path)
{
    auto routes = settings.routesByHost.find(host);
    if (routes == settings.routesByHost.end())
        return nullptr;
    path = path.substr(0, path.find('?'));
    for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos; slash = slash ? path.rfind('/', slash - 1) : std::string_view::npos) {
        auto found = routes->second.find(path.substr(0, slash + 1));
        if (found != routes->second.end())
            return &settings.settings.routes[found->second];
    }
    return nullptr;
}

const AccountSettings* findAccount(const IndexedSettings& settings, std::string_view key)
{
    auto found = settings.accountsByKey.find(key);
    return found == settings.accountsByKey.end() ? nullptr : &settings.settings.accounts[found->second];
}

const PoolId& choosePool(const RouteSettings& route, std::uint64_t random)
{
    std::uint64_t total = 0;
    for (const WeightedPool& part : route.pools)
        total += static_cast<std::uint64_t>(part.weight);
    if (!total)
        return route.pools.front().pool;
    std::uint64_t point = random % total;
    for (const WeightedPool& part : route.pools) {
        if (point < static_cast<std::uint64_t>(part.weight))
            return part.pool;
        point -= static_cast<std::uint64_t>(part.weight);
    }
    return route.pools.back().pool;
}

bool mayRunAgain(const RouteSettings& route)
{
    return route.kind == CallKind::Idempotent || (route.kind == CallKind::Streaming && route.isResumable);
}

} // namespace limpetpond
