package sprucerock.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sprucerock.config.ConfigException;

@Command(name = "release", mixinStandardHelpOptions = true,
    description = "Asks a running controller, or tells it an operator's word. Exit code 1: it has no effect; 3: nobody answers.")
final class ReleaseCommand implements Callable<Integer> {
    private static final Duration PATIENCE = Duration.ofSeconds(10);
    private static final JsonMapper JSON = JsonMapper.builder().build();

    @Parameters(index = "0", paramLabel = "ACTION", description = "list, show, announce, hold, resume or withdraw")
    private String action;

    @Parameters(index = "1", arity = "0..1", paramLabel = "BUILD", description = "the build's number")
    private Integer build;

    @Option(names = "--at", paramLabel = "URL", defaultValue = "http://127.0.0.1:7700", description = "the controller's api, ${DEFAULT-VALUE} unless given")
    private String at;

    @Option(names = "--token", required = true, paramLabel = "FILE", description = "holds the api's token")
    private Path token;

    @Option(names = "--artifact", paramLabel = "TEXT", description = "what is to be run, for announce")
    private String artifact;

    @Option(names = "--who", paramLabel = "NAME", defaultValue = "${sys:user.name}", description = "who says so")
    private String who;

    @Option(names = "--reason", paramLabel = "TEXT", description = "why, for hold, resume and withdraw")
    private String reason;

    @Override
    public Integer call() throws Exception {
        boolean list = action.equals("list");
        if (!action.matches("list|show|announce|hold|resume|withdraw")) throw new ConfigException("an action is list, show, announce, hold, resume or withdraw, not " + action);
        if (!list && build == null) throw new ConfigException(action + " needs a build's number");
        if (action.equals("announce") && artifact == null) throw new ConfigException("announce needs --artifact");
        if (action.matches("hold|resume|withdraw") && reason == null) throw new ConfigException(action + " needs --reason");
        ObjectNode body = JSON.createObjectNode();
        if (action.equals("announce")) body.put("build", build).put("artifact", artifact).put("who", who);
        else body.put("who", who).put("reason", reason);
        HttpRequest.Builder request = HttpRequest.newBuilder().timeout(PATIENCE).header("Authorization", "Bearer " + Files.readString(token).strip());
        String path = list || action.equals("announce") ? "/releases" : action.equals("show") ? "/releases/" + build : "/releases/" + build + "/" + action;
        if (list || action.equals("show")) request.GET();
        else request.POST(HttpRequest.BodyPublishers.ofString(body.toString()));
        HttpResponse<String> answer;
        try {
            answer = HttpClient.newBuilder().connectTimeout(PATIENCE).build().send(request.uri(URI.create(at).resolve(path)).build(), HttpResponse.BodyHandlers.ofString());
        } catch (IOException e) {
            throw new IOException(at + ": no controller answers there: " + e);
        }
        print(answer.body());
        return answer.statusCode() < 300 ? Commands.DONE : Commands.WANTING;
    }

    private void print(String body) throws IOException {
        JsonNode node = JSON.readTree(body);
        if (!node.has("releases")) {
            System.out.println(node.toPrettyString());
            return;
        }
        System.out.printf("%6s %-12s %5s %-5s %11s  %s%n", "build", "standing", "stage", "held", "units", "artifact");
        for (JsonNode one : node.get("releases")) {
            System.out.printf("%6d %-12s %5d %-5s %5d of %-2d  %s%s%n", one.get("build").asInt(), one.get("standing").asText(), one.get("stage").asInt(),
                one.get("held").asBoolean() ? "held" : "", one.get("units").asInt(), one.get("units_wanted").asInt(), one.get("artifact").asText(),
                one.has("serves") ? " (serves)" : "");
        }
        if (node.has("store")) System.out.println("THE STORE TAKES NOTHING: " + node.get("store").asText());
    }
}
