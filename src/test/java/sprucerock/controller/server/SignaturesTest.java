package sprucerock.controller.server;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import org.testng.annotations.Test;
import sprucerock.time.TimeSpan;

/** Tests valid and invalid signatures of both schemes. */
public class SignaturesTest {
  private static final byte[] OLD_SECRET = "the secret before".getBytes(StandardCharsets.UTF_8);
  private static final byte[] NEW_SECRET = "the secret now".getBytes(StandardCharsets.UTF_8);
  private static final byte[] BODY = "{\"a\":1}".getBytes(StandardCharsets.UTF_8);
  private static final TimeSpan TOLERANCE = TimeSpan.ofMs(300_000);

  private static Signatures.Verdict verifyStandard(
      String id, String time, String signature, byte[] body) {
    return Signatures.verify(
        Signatures.SignatureScheme.STANDARD,
        new Signatures.Headers(id, time, signature),
        body,
        List.of(NEW_SECRET, OLD_SECRET),
        1000,
        TOLERANCE);
  }

  private static String sign(byte[] secret) {
    return Signatures.sign(Signatures.SignatureScheme.STANDARD, "m1", 1000, BODY, secret);
  }

  @Test
  public void eitherSecretIsAcceptedDuringRotation() {
    assertEquals(verifyStandard("m1", "1000", sign(OLD_SECRET), BODY).id(), "m1");
    assertEquals(
        verifyStandard("m1", "1000", "v1,bm90IGl0 " + sign(NEW_SECRET) + " v1a,else", BODY).id(),
        "m1");
    assertNotNull(verifyStandard("m1", "1000", sign("another".getBytes()), BODY).rejection());
  }

  @Test
  public void alteredOrExpiredDeliveriesAreRejected() {
    assertNotNull(verifyStandard("m2", "1000", sign(NEW_SECRET), BODY).rejection());
    assertNotNull(verifyStandard("m1", "1001", sign(NEW_SECRET), BODY).rejection());
    assertNotNull(
        verifyStandard("m1", "1000", sign(NEW_SECRET), "{\"a\":2}".getBytes()).rejection());
    assertEquals(
        verifyStandard("m1", "1301", sign(NEW_SECRET), BODY).rejection(),
        "its time is more than 300 s from ours");
    assertEquals(
        verifyStandard("m1", "699", sign(NEW_SECRET), BODY).rejection(),
        "its time is more than 300 s from ours");
    assertEquals(
        verifyStandard("m1", "soon", sign(NEW_SECRET), BODY).rejection(),
        "its time is no number of seconds");
    assertNotNull(verifyStandard("m1", null, sign(NEW_SECRET), BODY).rejection());
    assertNotNull(verifyStandard(null, "1000", sign(NEW_SECRET), BODY).rejection());
    assertNotNull(verifyStandard("m1", "1000", null, BODY).rejection());
    assertNotNull(verifyStandard("m1", "1000", "v1,%%%", BODY).rejection());
    assertNotNull(verifyStandard("m 1", "1000", sign(NEW_SECRET), BODY).rejection());
    // the valid signature is the 21st, and only the first ten are checked
    assertNotNull(
        verifyStandard("m1", "1000", "v1,AA== ".repeat(20) + sign(NEW_SECRET), BODY).rejection());
  }

  /** Uses the example of GitHub's documentation. */
  @Test
  public void gitHubsPublishedExampleVerifies() {
    Signatures.Headers headers =
        new Signatures.Headers(
            "d-1", null, "sha256=757107ea0eb2509fc211221cce984b8a37570b6d7586c22c46f4379c8b043e17");
    byte[] secret = "It's a Secret to Everybody".getBytes(StandardCharsets.UTF_8);
    assertNull(
        Signatures.verify(
                Signatures.SignatureScheme.GITHUB,
                headers,
                "Hello, World!".getBytes(),
                List.of(secret),
                0,
                TOLERANCE)
            .rejection());
    assertNotNull(
        Signatures.verify(
                Signatures.SignatureScheme.GITHUB,
                headers,
                "Hello, world!".getBytes(),
                List.of(secret),
                0,
                TOLERANCE)
            .rejection());
  }

  @Test
  public void secretsAreParsedOnePerLine() {
    List<byte[]> secrets =
        Signatures.parseSecrets(
            "# now\nwhsec_"
                + Base64.getEncoder().encodeToString(NEW_SECRET)
                + "\n\n"
                + Base64.getEncoder().encodeToString(OLD_SECRET)
                + "\n",
            Signatures.SignatureScheme.STANDARD);
    assertEquals(secrets.size(), 2);
    assertEquals(secrets.get(0), NEW_SECRET);
    assertEquals(secrets.get(1), OLD_SECRET);
  }
}
