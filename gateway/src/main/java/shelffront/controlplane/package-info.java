/**
 * Distribution of configuration records to a fleet of gateways. The change store holds the records,
 * distributors replicate them, and gateways subscribe to the records that they serve. The protocol
 * rules are in {@code shelffront.distribution} of the module {@code core}.
 *
 * <p>{@link shelffront.controlplane.ChangeStore} keeps the records and their history in the
 * coordination store, in the format of {@code ChangeStoreCodec}. A {@link
 * shelffront.controlplane.DistributorProcess} combines a {@code Distributor} (table, polls and
 * subscriptions) with its {@code DistributionServer} (HTTP) and its upstream, which is either an
 * {@code EngineFollower} or a {@code Subscriber} of another distributor. {@link
 * shelffront.controlplane.SubscribedRecords} is the gateway side: a {@code Subscriber} with its
 * {@code DistributorClient}, {@code RecordLookups}, a {@code ViewAgeMonitor} and a {@code
 * LastKnownGoodCache}. {@code DistributionMessages} has the messages between them, and {@link
 * shelffront.controlplane.DistributionException} the errors.
 *
 * <p>{@code docs/design/distribution.md} describes the options considered and the measurements.
 */
package shelffront.controlplane;
