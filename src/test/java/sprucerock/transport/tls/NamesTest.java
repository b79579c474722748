package sprucerock.transport.tls;

import static org.testng.Assert.assertEquals;

import java.security.cert.X509Certificate;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Which names a certificate carries, case by case of RFC 9525. */
public class NamesTest {
  private static final TestCa CA = TestCa.root("root");

  @DataProvider
  public Object[][] cases() {
    return new Object[][] {
      {"orders-7.example", "orders-7.example", true},
      {"orders-7.example", "ORDERS-7.Example", true},
      {"orders-7.example", "orders-7.example.", true},
      {"orders-7.example", "orders-8.example", false},
      {"orders-7.example", "a.orders-7.example", false},
      {"*.orders.example", "a.orders.example", true},
      {"*.orders.example", "orders.example", false},
      {"*.orders.example", "a.b.orders.example", false},
      {"a*.orders.example", "ab.orders.example", false}, // only whole labels
      {"b.*.example", "b.c.example", false}, // only the left-most
      {"*.example", "orders.example", false}, // a whole domain
      {"10.1.2.3", "10.1.2.3", true},
      {"10.1.2.3", "10.1.2.4", false},
      {"fd00::7", "FD00:0:0:0:0:0:0:7", true},
      {"fd00::7", "fd00::8", false},
      {"orders.example", "10.1.2.3", false},
      {"10.1.2.3", "orders.example", false},
      {"xn--bcher-kva.example", "bücher.example", true},
      {"orders.example", "", false},
    };
  }

  @Test(dataProvider = "cases")
  public void aCertificateCarriesANameOrNot(String carried, String asked, boolean does)
      throws Exception {
    X509Certificate certificate = CA.make(TestCa.leaf(carried)).certificate();
    assertEquals(Names.carries(certificate, asked), does);
  }

  @Test
  public void commonNamesDontCount() throws Exception {
    X509Certificate certificate = CA.make(TestCa.leaf()).certificate();
    assertEquals(Names.carries(certificate, "nameless"), false);
  }
}
