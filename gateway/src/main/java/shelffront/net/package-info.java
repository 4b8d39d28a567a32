/**
 * The event loop and its connections, deadlines, budgets, counters and log, independent of any
 * protocol.
 *
 * <p>All state of a connection belongs to the thread of its {@link shelffront.net.EventLoop}. The
 * completion threads of the channels only post results to a loop. Other threads may use only {@link
 * shelffront.net.ResourceBudget}, {@link shelffront.net.AsyncEventLog}, the {@code post} methods of
 * the loop and of {@link shelffront.net.Network}, and the methods marked for any thread.
 */
package shelffront.net;
