/**
 * Distribution of configuration to a fleet: the change store decides, distributors carry, gateways
 * serve. The rules are in {@code core}'s {@code shelffront.distribution}.
 *
 * <p>{@link shelffront.controlplane.ChangeStore} has the records and their history in the
 * coordination store, in the form of {@code ChangeStoreCodec}. A {@link
 * shelffront.controlplane.DistributorProcess} joins a {@code Distributor} (the table, polls and
 * subscriptions), its {@code DistributionServer} (HTTP), and what keeps the table current: an
 * {@code EngineFollower}, or a {@code Subscriber} of another distributor. {@link
 * shelffront.controlplane.SubscribedRecords} is a gateway's side: a {@code Subscriber} with its
 * {@code DistributorClient}, {@code RecordLookups}, a {@code ViewAgeMonitor} and a {@code
 * LastKnownGoodCache}. The messages between them are {@code DistributionMessages}; {@link
 * shelffront.controlplane.DistributionException} has the errors.
 *
 * <p>{@code docs/design/distribution.md} has the options and figures.
 */
package shelffront.controlplane;
