package sprucerock.relay.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * A relay as its own process, whose clients close their connection with requests unread or open.
 * Verdicts hold whatever the machine's speed.
 */
public class ServeLeavingClientTest {
  private static final int SOCKETS = 256;

  /** More than one read buffer holds. */
  private static final int VALUE_BYTES = 4096;

  private static final int REQUESTS = 8;

  private ServeFixture fixture;
  private int ids;

  @BeforeMethod
  public void start() throws Exception {
    fixture = new ServeFixture(SOCKETS);
  }

  @AfterMethod
  public void end() throws Exception {
    fixture.close();
  }

  private Peers.Client client() throws Exception {
    return fixture.peers.new Client(fixture.port).welcomed();
  }

  private void assertServes() throws Exception {
    Peers.Client usual = client();
    usual.sends(ServeFixture.pay("usual-" + ids++, 2));
    fixture.endpoint.query().on().says(Peers.value("on"));
    assertEquals(usual.answer(), "value on");
  }

  /** Guards against requests that are sent on though their client has closed its connection. */
  @Test
  public void nothingIsSentOnOfAClientThatClosedUnread() throws Exception {
    assertServes();
    int seenBefore = fixture.endpoint.seen.size();
    Peers.Client gone = client();
    fixture.relay.signal("STOP");
    for (int i = 0; i < REQUESTS; i++) {
      gone.sends(ServeFixture.pay("gone-" + i, VALUE_BYTES));
    }
    gone.socket.close();
    Peers.closed(gone.socket);
    fixture.relay.signal("CONT");
    assertServes(); // and with it all that came before has been met
    assertEquals(fixture.endpoint.seen.size(), seenBefore + 1);
  }

  /** Guards against an id that runs a second time as it comes again after its client has left. */
  @Test
  public void anIdThatComesAgainAfterItsClientLeftRunsOnce() throws Exception {
    Peers.Client gone = client();
    gone.sends(ServeFixture.pay("twice", 2));
    Peers.Unit.Query first = fixture.endpoint.query();
    gone.socket.close();
    Peers.await(first.on().closed, "the attempt is given up");
    Peers.Client again = client();
    again.sends(ServeFixture.pay("twice", 2));
    String answer = again.answer();
    assertTrue(answer.startsWith("error"), answer);
    assertEquals(fixture.endpoint.seen.size(), 1);
  }
}
