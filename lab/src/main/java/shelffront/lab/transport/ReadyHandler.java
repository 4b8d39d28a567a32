package shelffront.lab.transport;

import java.nio.channels.SelectionKey;

/** Attachment of a selection key, called when the channel is ready. */
interface ReadyHandler {

  void ready(SelectionKey key);
}
