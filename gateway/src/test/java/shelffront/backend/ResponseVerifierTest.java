package shelffront.backend;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Collections;
import java.util.Queue;
import org.junit.jupiter.api.Test;
import shelffront.pg.Message;
import shelffront.pg.ProtocolException;

/** Tests that no call receives a response that a host made for another one. */
class ResponseVerifierTest {

  private static final int CALLS = 4;
  private static final int VALUES = 2;
  private static final int MAX_COPIES = 2;

  /** Responses on their way to the gateway, in the order in which the host wrote them. */
  private final Queue<QueryResponse> stream = new ArrayDeque<>();

  /** Copies of the last response that the host has not written yet. */
  private int copiesLeft;

  private int lastValue;

  /**
   * Every sequence of calls with equal and different values, and with up to two copies behind each
   * response, all of which arrive after the next call was written. Guards against a copy that is
   * taken for the response to that call.
   */
  @Test
  void givesEveryCallItsOwnResponseHoweverManyCopiesArriveLate() throws Exception {
    int sequences = (int) Math.pow(VALUES * (MAX_COPIES + 1), CALLS);
    for (int sequence = 0; sequence < sequences; sequence++) {
      playConnection(sequence);
    }
  }

  /** Runs calls on one connection until the verifier demands its end. */
  private void playConnection(int sequence) throws ProtocolException {
    stream.clear();
    copiesLeft = 0;
    ResponseVerifier verifier = new ResponseVerifier(this::answerEmptyQuery);
    int digits = sequence;
    for (int call = 0; call < CALLS && !verifier.isCheckOutstanding(); call++) {
      stream.addAll(Collections.nCopies(copiesLeft, row(lastValue)));
      lastValue = digits % VALUES;
      digits /= VALUES;
      copiesLeft = digits % (MAX_COPIES + 1);
      digits /= MAX_COPIES + 1;
      stream.add(row(lastValue));
      QueryResponse verified = null;
      while (verified == null) {
        QueryResponse next = stream.poll();
        assertNotNull(next, "sequence " + sequence + " waits for a response that never comes");
        verified = verifier.verify(next);
      }
      assertArrayEquals(
          row(lastValue).toBackendResponse(false).messages(),
          verified.toBackendResponse(false).messages(),
          "call " + call + " of sequence " + sequence);
    }
  }

  /** The host answers behind the call and its copies; a copy of this answer arrives late too. */
  private void answerEmptyQuery() {
    try {
      stream.addAll(Collections.nCopies(copiesLeft, row(lastValue)));
      copiesLeft = 0;
      stream.add(response(Message.emptyQueryResponse()));
    } catch (ProtocolException e) {
      throw new IllegalStateException(e);
    }
  }

  private static QueryResponse row(int value) throws ProtocolException {
    return response(
        new Message('T', ("\0\1v\0" + "\0".repeat(18)).getBytes(ISO_8859_1)).bytes(),
        new Message('D', ("\0\1\0\0\0\1" + value).getBytes(ISO_8859_1)).bytes(),
        new Message('C', "SELECT 1\0".getBytes(ISO_8859_1)).bytes());
  }

  private static QueryResponse response(byte[]... messages) throws ProtocolException {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    for (byte[] message : messages) {
      all.writeBytes(message);
    }
    all.writeBytes(Message.readyForQuery());
    ByteBuffer bytes = ByteBuffer.wrap(all.toByteArray());
    QueryResponse response = new QueryResponse(true);
    while (bytes.hasRemaining()) {
      response.apply(response.next(bytes));
    }
    return response;
  }
}
