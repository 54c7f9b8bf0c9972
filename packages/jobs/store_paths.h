/// Joins the two sides of store calls between hosts: those that this host has others make, and
/// those that it makes for others.
#ifndef CROCUSWIND_JOBS_STORE_PATHS_H
#define CROCUSWIND_JOBS_STORE_PATHS_H

#include "host_links.h"
#include "store_detour.h"
#include "store_helper.h"

namespace crocuswind {

/// The ways to the store of one host, over its links to others.
struct store_paths
{
    /// \p links must outlive this object, but is not used during the construction.
    store_paths(event_loop &loop, store &platformStore, const logger &log, host_links &links)
        : detour(loop, platformStore, log,
                 [&links](const host_id &helper, const scheduler::helped_store_call &call) {
                     return links.sendStoreCall(helper, call);
                 })
        , helper(loop, platformStore,
                 [&links](const host_id &owner, const scheduler::store_help &help) {
                     return links.sendStoreHelp(owner, help);
                 })
    { }

    /// Return what the links call for a call of another host, and for the answer of one.
    auto callCallback()
    {
        return [this](const host_id &peer, const scheduler::helped_store_call &call) {
            helper.onCall(peer, call);
        };
    }
    auto helpCallback()
    {
        return [this](const host_id &peer, const scheduler::store_help &help) {
            detour.onHelp(peer, help);
        };
    }

    void onOffer(const host_id &peer, const scheduler::relay_offer &offer)
    {
        if (offer.isAvailable && offer.makesStoreCalls)
            detour.addHelper(peer);
        else
            detour.withdrawHelper(peer);
    }

    void onHostLost(const host_id &peer)
    {
        detour.removeHelper(peer);
        helper.onHostLost(peer);
    }

    store_detour detour;
    store_helper helper;
};

} // namespace crocuswind

#endif
