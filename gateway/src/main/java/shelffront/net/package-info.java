/**
 * The event loop and what stands on it: connections, deadlines, budgets, counters and the log.
 *
 * <p>All state of a connection belongs to the thread of its {@link shelffront.net.EventLoop}. The
 * completion threads of the channels do nothing but post results to a loop; {@link
 * shelffront.net.ResourceBudget}, {@link shelffront.net.AsyncEventLog} and the two ways to post are
 * all that other threads may use. No protocol is known here.
 */
package shelffront.net;
