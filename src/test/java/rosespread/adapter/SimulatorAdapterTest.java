package rosespread.adapter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SimulatorAdapterTest {
    private static final String INFO =
            "{'azs':['a'],'kinds':['k','l'],'profiles':[{'name':'m',"
                    + "'effect':'safe','importance':1,'giveUp':2,'onlyKinds':['l'],'new':{}}],"
                    + "'domain':{'channelRate':1000,'overhead':4,'queueCap':1500,'reportEvery':1,'throttleBy':'rps'},"
                    + "'contract':{'stopSendingWithin':2,'cold':16,'coldShare':0.2,'overloadFor':1.5},"
                    + "'policyLimits':{},'report':{'columns':['utilization']}}";
    private static final String LIST =
            "{'msg':'Topology','conductorId':CID,'rev':0,'kind':'Persisted',"
                    + "'elements':[{'w':1,'zone':'a','node':7,'lifecycle':'ready','cameUp':null,'kind':'k'},"
                    + "{'w':1,'zone':'a','node':4000000000,'lifecycle':'ready','cameUp':0,'kind':'l','stripe':0}]}";

    private static String batch(String... events) {
        return ("{'simTime':1.5,'msgs':[" + String.join(",", events) + "]}\n").replace('\'', '"');
    }

    private static String launch(int controller, String info) {
        return "{'msg':'Launch','conductorId':"
                + controller
                + ",'nonce64':5,'info':"
                + info
                + "},"
                + LIST.replace("CID", String.valueOf(controller));
    }

    private static String run(String input) throws IOException, MalformedBatchException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new SimulatorAdapter(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), out)
                .run();
        return out.toString(StandardCharsets.UTF_8);
    }

    @Test
    void repliesOncePerBatchAndSubscribesProxyToTableOfRestrictedMethod() throws Exception {
        String join =
                "{'msg':'Attached','conductorId':0,'clientLb':3,'zone':'a','w':6.5,'active':true}";
        String[] replies = run(batch() + batch(launch(0, INFO)) + batch(join)).split("\n");
        assertEquals("{\"steps\":[]}", replies[0]);
        assertEquals(3, replies.length);
        assertTrue(
                replies[2].contains(
                        "\"msg\":\"Point\",\"conductorId\":0,\"clientLb\":3,\"classBits\":1"));
        assertTrue(
                replies[1].contains("\"node\":4000000000")
                        || replies[2].contains("\"node\":4000000000"));
        assertFalse((replies[1] + replies[2]).contains("\"node\":7}"));
    }

    @Test
    void ignoresUnknownEventsAndControllersNotLaunched() throws Exception {
        String unknownEvent = "{'msg':'Novelty','conductorId':0,'x':[1,{'y':null}]}";
        assertEquals("{\"steps\":[]}\n", run(batch(unknownEvent)));
        assertEquals(2, run(batch(launch(0, INFO)) + batch(unknownEvent)).split("\n").length);
    }

    @Test
    void runsControllersIndependently() throws Exception {
        String singleReply = run(batch(launch(1, INFO)));
        String replyOfBoth = run(batch(launch(0, INFO), launch(1, INFO)));
        String actions =
                singleReply.substring(singleReply.indexOf('[') + 1, singleReply.lastIndexOf(']'));
        assertTrue(replyOfBoth.contains(actions));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "nonsense                                    | line 2 is not a valid batch",
                "[]                                          | line 2 is not a valid batch: the line is not an object",
                "{\"msgs\":[]}                               | lacks \"simTime\"",
                "{\"simTime\":1}                             | lacks \"msgs\"",
                "{\"simTime\":1,\"msgs\":[]} trailing        | line 2 is not a valid batch",
                "{\"simTime\":1,\"msgs\":[{\"msg\":\"x\"}]}  | lacks \"conductorId\""
            })
    void rejectsMalformedBatch(String line, String expected) {
        MalformedBatchException error =
                assertThrows(MalformedBatchException.class, () -> run(batch() + line + "\n"));
        assertTrue(error.getMessage().contains(expected), error.getMessage());
    }

    @ParameterizedTest
    @CsvSource({"channelRate", "queueCap", "coldShare", "importance", "profiles", "contract"})
    void reportsMissingSetting(String key) {
        String info = INFO.replace("'" + key + "'", "'other'");
        MalformedBatchException error =
                assertThrows(MalformedBatchException.class, () -> run(batch(launch(0, info))));
        assertTrue(error.getMessage().contains("lacks \"" + key + "\""), error.getMessage());
    }
}
