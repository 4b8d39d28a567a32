/**
 * Distribution of configuration to a fleet. This package does no I/O, reads no clock and starts no
 * thread.
 *
 * <p>A change store (outside of this package) assigns every change a {@link
 * shelffront.distribution.Version}. A distributor keeps the latest record of every name and a
 * bounded log of changes in a {@link shelffront.distribution.RecordTable}. It sends subscribers the
 * changes that they lack if its log reaches back far enough, and a snapshot otherwise. A subscriber
 * keeps the records that it follows in a {@link shelffront.distribution.ReplicatedView}, whose
 * version never decreases, even when the subscriber switches distributors. {@link
 * shelffront.distribution.Staleness} bounds the age of a view, and {@link
 * shelffront.distribution.DistributorSelector} selects the distributor to connect to.
 *
 * <p>Threads: records are immutable; everything else is guarded by its owner. Times are
 * microseconds of the caller's monotonic clock.
 */
package shelffront.distribution;
