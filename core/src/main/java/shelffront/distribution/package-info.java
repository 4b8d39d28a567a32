/**
 * Distribution of configuration to a fleet, without I/O, clock or thread.
 *
 * <p>A change store (outside of this package) gives every change a {@link
 * shelffront.distribution.Version}. A distributor keeps the latest record of every name and a
 * bounded log of changes in a {@link shelffront.distribution.RecordTable}, and answers subscribers
 * with what they lack: changes where its log reaches back far enough, else a snapshot. A subscriber
 * keeps the records that it asked for in a {@link shelffront.distribution.ReplicatedView}, which
 * never steps back, whichever distributor speaks. {@link shelffront.distribution.Staleness} tells
 * how old a view may be, and {@link shelffront.distribution.DistributorSelector} which distributor
 * to ask next.
 *
 * <p>Threads: records are immutable; everything else is guarded by its owner. Times are
 * microseconds of the caller's monotonic clock.
 */
package shelffront.distribution;
