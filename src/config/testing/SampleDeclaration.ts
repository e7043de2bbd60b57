/** A small but complete declaration for tests. */

/** TOML of a valid declaration with one zone, four pools, one pipeline and one service. */
export const SAMPLE_TOML = `name = "sample"

[[zones]]
name = "zone-a"
region = "north"

[[workspaces]]
name = "acme"
share = 2

[[workspaces.keys]]
id = "acme-1"
salt = "00ff"
hash = "abcd"

[[kinds]]
name = "lookup"
deadline_ms = 500
cost_target = 0.5

[[kinds]]
name = "summary"
deadline_ms = 8000
patience = "patient"
cost_target = 9

[[pools]]
name = "encoders"
kind = "encoding"

[[pools.endpoints]]
name = "encoder-1"
address = "127.0.0.1:9001"
zone = "zone-a"

[[pools]]
name = "rerankers"
kind = "reranking"

[[pools.endpoints]]
name = "reranker-1"
address = "127.0.0.1:9002"
zone = "zone-a"

[[pools]]
name = "llm"
kind = "generation"
resumable = true

[[pools.endpoints]]
name = "llm-1"
address = "[::1]:9003"
zone = "zone-a"

[[pools]]
name = "register"
kind = "service"

[[pools.endpoints]]
name = "register-1"
address = "127.0.0.1:9004"
zone = "zone-a"

[[pipelines]]
name = "history"
kind = "summary"

[[pipelines.stages]]
name = "encode"
kind = "encoding"
pool = "encoders"

[[pipelines.stages]]
name = "rerank"
kind = "reranking"
pool = "rerankers"

[[pipelines.stages]]
name = "generate"
kind = "generation"
pool = "llm"
max_tokens = 200

[[services]]
name = "register"
pool = "register"

[[services.routes]]
method = "POST"
path = "postings"
kind = "lookup"
repeatable = false
natural_key = ["account", "document.number"]
`;
